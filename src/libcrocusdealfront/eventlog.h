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

/** A log line that is built field by field and written on destruction. */
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
    event_log *m_log; ///< Null if the line is not written.
    log_level m_level;
    std::string m_text;
};

/**
 * Writes structured lines "t=... level=... instance=... event=... name=value ..." to standard output.
 *
 * The lines of each event are rate-limited; excess lines are counted and the counts are reported once a second. Writing
 * never blocks: lines go through a bounded buffer, and when the reader of a pipe stalls and the buffer is full, further
 * lines are dropped.
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

    /** Writes as much of the buffer as standard output accepts without blocking. */
    void flush();
    /** Logs how many lines of each event were suppressed by the rate limit since the last call. */
    void reportSuppressedLines();
    void setLevel(log_level level);
    /** Returns the number of lines that were never written, because of the rate limit or a full buffer. */
    std::uint64_t droppedLines() const;

    static constexpr int linesPerSecond = 40; ///< Limit for each event name.

private:
    friend class event_line;
    struct rate_limit {
        time_point periodStart = never;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    event_line beginLine(log_level level, std::string_view event);
    /** Counts a line of the event; returns false if it exceeds the rate limit. */
    bool consumeRateLimit(std::string_view event);
    void write(log_level level, const std::string &text);

    std::string m_instance;
    log_level m_level;
    std::map<std::string, rate_limit, std::less<>> m_rateLimits;
    std::uint64_t m_suppressedLines = 0;
    struct sink;
    std::unique_ptr<sink> m_sink;
};

}
