#pragma once

#include "loglevel.h"

#include <memory>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Writes the lines of one part of the program, each with the part's fixed prefix. */
class part_log
{
public:
    /** @p prefix without the colon, for example "route". */
    explicit part_log(std::string_view prefix);
    ~part_log();
    part_log(const part_log &) = delete;
    part_log &operator=(const part_log &) = delete;

    bool isEnabled(log_level level) const;
    void write(log_level level, std::string_view line) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** Sends log lines to standard error through an asynchronous appender. Call once, before the first line. */
void startLogging(log_level level);
/** Changes the level of all parts at run time. */
void setLogLevel(log_level level);
/** Writes what is queued and stops the appender's thread. */
void stopLogging();

}
