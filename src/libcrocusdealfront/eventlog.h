#pragma once

#include "clock.h"
#include "loglevel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace crocusdeal
{

class event_log;

/** One line of the log, written when it goes out of scope. */
class event_line
{
public:
    event_line(event_log *log, log_level level, std::string_view event);
    ~event_line();
    event_line(event_line &&other) noexcept;
    event_line(const event_line &) = delete;
    event_line &operator=(const event_line &) = delete;
    event_line &operator=(event_line &&) = delete;

    event_line &field(std::string_view name, std::string_view value);
    event_line &field(std::string_view name, std::int64_t value);

private:
    event_log *m_log; ///< Null if the line is left out.
    log_level m_level;
    std::string m_text;
};

/**
 * Structured lines "time=... level=... event=... name=value ..." on standard output.
 *
 * Each event has a budget of lines a second; what exceeds it is counted and told once a second. A reader that stops
 * reading costs lines, never time: they go through a bounded buffer that is written only as far as the pipe takes it.
 */
class event_log
{
public:
    event_log(std::string instance, log_level level);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    event_line info(std::string_view event);
    event_line warn(std::string_view event);
    event_line debug(std::string_view event);

    /** Writes as much as standard output takes without waiting. */
    void flush();
    /** Tells the counts of lines left out since the last call. */
    void reportLeftOut();
    void setLevel(log_level level);
    std::uint64_t leftOut() const;

    static constexpr int linesPerSecond = 40; ///< Of one event.

private:
    friend class event_line;
    struct budget {
        time_point since = never;
        int used = 0;
        std::uint64_t leftOut = 0;
    };

    event_line open(log_level level, std::string_view event);
    bool takeBudget(std::string_view event);
    void write(log_level level, const std::string &text);

    std::string m_instance;
    log_level m_level;
    std::map<std::string, budget, std::less<>> m_budgets;
    std::uint64_t m_leftOut = 0;
    struct sink;
    std::unique_ptr<sink> m_sink;
};

}
