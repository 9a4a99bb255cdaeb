#include "eventlog.h"

#include "systemclock.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

constexpr duration rateLimitPeriod{1000};
constexpr std::size_t maxBufferedBytes = 262144;
constexpr std::size_t pipeChunkBytes = 4096; // A pipe that polls as writable accepts this much without blocking.

log4cplus::LogLevel toLog4cplus(log_level level)
{
    switch (level) {
    case log_level::Trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

/** Buffers lines until they can be written without blocking; drops new lines when the buffer is full. */
class bounded_appender : public log4cplus::Appender
{
public:
    ~bounded_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        flush();
        closed = true;
    }

    void flush()
    {
        std::size_t written = 0;
        while (written < m_buffer.size() && isWritable()) {
            const auto chunk = std::min(pipeChunkBytes, m_buffer.size() - written);
            const auto count = ::write(STDOUT_FILENO, m_buffer.data() + written, chunk);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        m_buffer.erase(0, written);
    }

    std::uint64_t dropped() const
    {
        return m_dropped;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto &text = event.getMessage();
        if (m_buffer.size() + text.size() >= maxBufferedBytes) {
            ++m_dropped;
            return;
        }
        m_buffer.append(text);
        m_buffer.push_back('\n');
    }

private:
    static bool isWritable()
    {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&out, 1, 0) > 0 && (out.revents & POLLOUT) != 0;
    }

    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

void appendValue(std::string &text, std::string_view value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\r\n\t") == std::string_view::npos;
    if (isPlain) {
        text.append(value);
        return;
    }
    text.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text.push_back('\\');
        }
        text.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
    text.push_back('"');
}

}

struct event_log::sink {
    log4cplus::helpers::SharedObjectPtr<bounded_appender> appender{new bounded_appender};
    log4cplus::Logger logger = log4cplus::Logger::getInstance("crocusdeal.events");
};

event_line::event_line(event_log *log, log_level level, std::string_view event)
    : m_log(log)
    , m_level(level)
{
    if (m_log == nullptr) {
        return;
    }
    m_text.reserve(160);
    m_text.append("t=").append(std::to_string(systemNow().ms));
    m_text.append(" level=").append(logLevelNames.name(level));
    m_text.append(" instance=").append(log->m_instance);
    m_text.append(" event=").append(event);
}

event_line::~event_line()
{
    if (m_log != nullptr) {
        m_log->write(m_level, m_text);
    }
}

event_line::event_line(event_line &&other) noexcept
    : m_log(std::exchange(other.m_log, nullptr))
    , m_level(other.m_level)
    , m_text(std::move(other.m_text))
{
}

event_line &event_line::field(std::string_view name, std::string_view value)
{
    if (m_log != nullptr) {
        m_text.append(" ").append(name).append("=");
        appendValue(m_text, value);
    }
    return *this;
}

event_line &event_line::field(std::string_view name, std::int64_t value)
{
    if (m_log != nullptr) {
        m_text.append(" ").append(name).append("=").append(std::to_string(value));
    }
    return *this;
}

event_log::event_log(std::string instance, log_level level)
    : m_instance(std::move(instance))
    , m_level(level)
{
    // log4cplus cannot be initialised again after it was shut down, so it stays initialised until the process ends.
    static const log4cplus::Initializer library;
    m_sink = std::make_unique<sink>();
    m_sink->logger.removeAllAppenders();
    m_sink->logger.setAdditivity(false);
    m_sink->logger.addAppender(log4cplus::SharedAppenderPtr(m_sink->appender.get()));
    setLevel(level);
}

event_log::~event_log()
{
    flush();
    m_sink->logger.removeAllAppenders();
}

event_line event_log::info(std::string_view event)
{
    return beginLine(log_level::Info, event);
}

event_line event_log::warn(std::string_view event)
{
    return beginLine(log_level::Warn, event);
}

event_line event_log::debug(std::string_view event)
{
    return beginLine(log_level::Debug, event);
}

event_line event_log::beginLine(log_level level, std::string_view event)
{
    const bool isWritten = level >= m_level && consumeRateLimit(event);
    return {isWritten ? this : nullptr, level, event};
}

bool event_log::consumeRateLimit(std::string_view event)
{
    auto found = m_rateLimits.find(event);
    if (found == m_rateLimits.end()) {
        found = m_rateLimits.emplace(std::string(event), rate_limit{}).first;
    }
    auto &state = found->second;
    const auto now = systemNow();
    if (now - state.periodStart >= rateLimitPeriod) {
        state.periodStart = now;
        state.lines = 0;
    }
    if (state.lines >= linesPerSecond) {
        ++state.suppressed;
        ++m_suppressedLines;
        return false;
    }
    ++state.lines;
    return true;
}

void event_log::reportSuppressedLines()
{
    for (auto &[event, state] : m_rateLimits) {
        const auto count = std::exchange(state.suppressed, 0);
        if (count > 0) {
            event_line(this, log_level::Warn, "lines_left_out")
                .field("of", event)
                .field("count", static_cast<std::int64_t>(count));
        }
    }
}

void event_log::write(log_level level, const std::string &text)
{
    m_sink->logger.forcedLog(toLog4cplus(level), text);
}

void event_log::flush()
{
    m_sink->appender->flush();
}

void event_log::setLevel(log_level level)
{
    m_level = level;
    m_sink->logger.setLogLevel(toLog4cplus(level));
}

std::uint64_t event_log::droppedLines() const
{
    return m_suppressedLines + m_sink->appender->dropped();
}

}
