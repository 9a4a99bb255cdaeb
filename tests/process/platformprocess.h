#pragma once

#include "hostport.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace crocusdeal
{

/** How a program that was run to its end ended. */
struct program_result {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** Runs a program below the build directory to its end; @p arguments without its name. */
program_result runProgram(const std::string &program, std::vector<std::string> arguments);

/** A platformstandin on a free loopback port; ended with this object. */
class platform_process
{
public:
    explicit platform_process(std::vector<std::string> options = {});
    ~platform_process();
    platform_process(const platform_process &) = delete;
    platform_process &operator=(const platform_process &) = delete;

    const host_port &address() const;
    void setFaults(const std::string &json) const;
    /** Adds an entry to the platform's list of instances. */
    void putInstance(const std::string &id, const std::string &json) const;
    std::string counters() const;

private:
    pid_t m_process = 0;
    host_port m_address;
};

}
