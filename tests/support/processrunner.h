#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <spawn.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace crocusdeal
{

/** Attributes of a child that does not inherit the ignored SIGPIPE of the test program. */
class spawn_attributes
{
public:
    spawn_attributes();
    ~spawn_attributes();
    spawn_attributes(const spawn_attributes &) = delete;
    spawn_attributes &operator=(const spawn_attributes &) = delete;

    const posix_spawnattr_t *get() const
    {
        return &m_attributes;
    }

private:
    posix_spawnattr_t m_attributes;
};

/** A program started by a test; killed and reaped by the destructor. */
class child_process
{
public:
    /**
     * Throws std::system_error. Standard output goes to readLine(), standard error is appended to @p errorFile; without
     * one it goes to that of the test.
     */
    child_process(const std::string &program,
                  const std::vector<std::string> &arguments,
                  const std::string &errorFile = "");
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t pid() const;
    /** The next line of standard output without its end; nothing at the end of the output or after the timeout. */
    std::optional<std::string> readLine(std::chrono::milliseconds timeout);
    void signal(int number) const;
    /** The exit status, 128 + number after a signal; nothing after the timeout. */
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = 0;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_status;
};

/** A port on 127.0.0.1 that was free a moment ago. */
std::uint16_t freePort();

}
