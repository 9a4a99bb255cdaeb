#include "startupmessage.h"

#include "pgframe.h"

#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr std::int32_t protocolMajor = 3;
constexpr unsigned majorShift = 16;
constexpr std::int32_t cancelCode = 80877102;
constexpr std::int32_t tlsCode = 80877103;
constexpr std::int32_t gssCode = 80877104;

std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    bool inWord = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (c == ' ' || c == '\t' || c == '\n') {
            if (inWord) {
                words.push_back(std::exchange(word, {}));
            }
            inWord = false;
            continue;
        }
        if (c == '\\' && i + 1 < text.size()) {
            c = text[++i];
        }
        word.push_back(c);
        inWord = true;
    }
    if (inWord) {
        words.push_back(word);
    }
    return words;
}

bool readParameters(payload_reader &reader, startup_message &message)
{
    while (reader.remaining() > 0) {
        const auto name = reader.readString();
        if (reader.failed()) {
            return false;
        }
        if (name.empty()) {
            return true;
        }
        const auto value = reader.readString();
        if (reader.failed()) {
            return false;
        }
        message.parameters[std::string(name)] = std::string(value);
    }
    return false;
}

}

std::string startup_message::parameter(const std::string &name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::optional<std::string> startup_message::option(const std::string &name) const
{
    if (const auto found = options.find(name); found != options.end()) {
        return found->second;
    }
    if (const auto found = parameters.find(name); found != parameters.end()) {
        return found->second;
    }
    return std::nullopt;
}

std::map<std::string, std::string> parseStartupOptions(std::string_view text)
{
    std::map<std::string, std::string> options;
    const auto words = splitWords(text);
    for (std::size_t i = 0; i < words.size(); ++i) {
        std::string assignment;
        if (words[i] == "-c" && i + 1 < words.size()) {
            assignment = words[++i];
        } else if (words[i].starts_with("-c") || words[i].starts_with("--")) {
            assignment = words[i].substr(2);
        }
        const auto equals = assignment.find('=');
        if (equals != std::string::npos) {
            options[assignment.substr(0, equals)] = assignment.substr(equals + 1);
        }
    }
    return options;
}

startup_message parseStartupMessage(std::string_view payload)
{
    startup_message message;
    payload_reader reader(payload);
    const auto code = reader.readInt32();
    if (reader.failed()) {
        return message;
    }
    if (code == tlsCode || code == gssCode) {
        message.kind = code == tlsCode ? startup_kind::TlsRequest : startup_kind::GssRequest;
        return message;
    }
    if (code == cancelCode) {
        message.cancelPid = reader.readInt32();
        message.cancelKey = reader.readInt32();
        message.kind = reader.failed() ? startup_kind::Malformed : startup_kind::Cancel;
        return message;
    }
    if (code >> majorShift != protocolMajor) {
        message.kind = startup_kind::Unsupported;
        return message;
    }
    if (!readParameters(reader, message)) {
        return message;
    }
    message.options = parseStartupOptions(message.parameter("options"));
    message.kind = startup_kind::Startup;
    return message;
}

}
