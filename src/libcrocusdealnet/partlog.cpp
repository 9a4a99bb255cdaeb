#include "partlog.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr unsigned queueLines = 100000;
constexpr const char *linePattern = "%D{%Y-%m-%d %H:%M:%S.%q} %-5p %m%n";

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

}

struct part_log::state {
    std::string prefix;
    log4cplus::Logger logger;
};

part_log::part_log(std::string_view prefix)
    : m_state(std::make_unique<state>(state{std::string(prefix) + ": ", log4cplus::Logger::getInstance("crocusdeal")}))
{
}

part_log::~part_log() = default;

bool part_log::isEnabled(log_level level) const
{
    return m_state->logger.isEnabledFor(toLog4cplus(level));
}

void part_log::write(log_level level, std::string_view line) const
{
    if (!isEnabled(level)) {
        return;
    }
    std::string text;
    text.reserve(m_state->prefix.size() + line.size());
    text.append(m_state->prefix).append(line);
    // Messages of libpq and of callers may hold line breaks, which would look like lines of their own.
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r' || c == '\t'; }, ' ');
    m_state->logger.forcedLog(toLog4cplus(level), text);
}

void startLogging(log_level level)
{
    log4cplus::initialize();
    constexpr bool logToStdErr = true;
    constexpr bool immediateFlush = false;
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(logToStdErr, immediateFlush));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    log4cplus::SharedAppenderPtr async(new log4cplus::AsyncAppender(console, queueLines));
    log4cplus::Logger::getRoot().addAppender(async);
    setLogLevel(level);
}

void setLogLevel(log_level level)
{
    log4cplus::Logger::getRoot().setLogLevel(toLog4cplus(level));
}

void stopLogging()
{
    log4cplus::Logger::shutdown();
}

}
