#pragma once

#include "nametable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

enum class startup_kind {
    Startup,
    TlsRequest,
    GssRequest,
    Cancel,
    Unsupported, ///< A protocol version other than 3.
    Malformed,
};

/** The first message of a caller. */
struct startup_message {
    startup_kind kind = startup_kind::Malformed;
    std::int32_t cancelPid = 0;
    std::int32_t cancelKey = 0;
    std::map<std::string, std::string> parameters;
    /** Settings given as "-c name=value" or "--name=value" in the parameter "options". */
    std::map<std::string, std::string> options;

    std::string parameter(const std::string &name) const;
    std::optional<std::string> option(const std::string &name) const;
};

/** Reads the payload of an untyped start-up message. */
startup_message parseStartupMessage(std::string_view payload);

/** Splits the value of the start-up parameter "options"; a backslash keeps the next character. */
std::map<std::string, std::string> parseStartupOptions(std::string_view text);

}
