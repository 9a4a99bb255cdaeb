#include "commandline.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;

namespace crocusdeal
{

namespace
{

constexpr const char *positionalName = "argument";
constexpr std::int64_t maxMilliseconds = 3'600'000;

constexpr const char *exitCodeText = "Exit codes:\n"
                                     "  0  done\n"
                                     "  1  refused, or a problem was found\n"
                                     "  2  wrong usage\n"
                                     "  3  platform or instance unavailable, or the outcome is unknown\n"
                                     "  4  accepted, but not in force everywhere in time\n";

}

class command_line::content
{
public:
    std::string usage;
    std::string text;
    options::options_description visible{"Options"};
    options::variables_map values;
    std::vector<std::string> positional;
};

command_line::command_line(std::string usage, std::string text)
    : m_content(std::make_unique<content>())
{
    m_content->usage = std::move(usage);
    m_content->text = std::move(text);
    addFlag("help", "show this text");
}

command_line::~command_line() = default;

void command_line::addFlag(const std::string &name, const std::string &help)
{
    m_content->visible.add_options()(name.c_str(), help.c_str());
}

void command_line::addText(const std::string &name, const std::string &help)
{
    m_content->visible.add_options()(name.c_str(), options::value<std::string>(), help.c_str());
}

void command_line::addTexts(const std::string &name, const std::string &help)
{
    m_content->visible.add_options()(name.c_str(), options::value<std::vector<std::string>>(), help.c_str());
}

void command_line::addMilliseconds(const std::string &name, duration value, const std::string &help)
{
    m_content->visible.add_options()(
        name.c_str(), options::value<std::int64_t>()->default_value(value.ms), help.c_str());
}

void command_line::addPlatform()
{
    addText("platform", "HOST:PORT of the platform; without it the variable CROCUSDEAL_PLATFORM is used");
    constexpr duration platformTimeout{10'000};
    addMilliseconds("timeout-ms", platformTimeout, "time limit for the platform's answers");
}

std::optional<exit_code> command_line::parse(const argument_list &arguments,
                                             std::size_t minPositional,
                                             std::size_t maxPositional)
{
    options::options_description all;
    all.add(m_content->visible);
    all.add_options()(positionalName, options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add(positionalName, -1);
    try {
        options::store(options::command_line_parser(arguments).options(all).positional(positional).run(),
                       m_content->values);
    } catch (const options::error &error) {
        printError(error.what());
        return exit_code::Usage;
    }
    if (flag("help")) {
        printHelp();
        return exit_code::Done;
    }
    m_content->positional = texts(positionalName);
    const auto count = m_content->positional.size();
    if (count < minPositional || count > maxPositional) {
        printError("usage: crocusdeal " + m_content->usage);
        return exit_code::Usage;
    }
    return std::nullopt;
}

void command_line::printHelp() const
{
    std::cout << "Usage: crocusdeal " << m_content->usage << "\n\n"
              << m_content->text << "\n\n"
              << m_content->visible << '\n'
              << exitCodeText;
}

bool command_line::flag(const std::string &name) const
{
    return m_content->values.count(name) > 0;
}

std::optional<std::string> command_line::text(const std::string &name) const
{
    return flag(name) ? std::optional(m_content->values[name].as<std::string>()) : std::nullopt;
}

std::vector<std::string> command_line::texts(const std::string &name) const
{
    return flag(name) ? m_content->values[name].as<std::vector<std::string>>() : std::vector<std::string>{};
}

duration command_line::milliseconds(const std::string &name) const
{
    const auto value = m_content->values[name].as<std::int64_t>();
    if (value < 0 || value > maxMilliseconds) {
        throw usage_error{"--" + name + ": number from 0 to " + std::to_string(maxMilliseconds) + " expected"};
    }
    return {value};
}

const std::vector<std::string> &command_line::positional() const
{
    return m_content->positional;
}

std::optional<host_port> command_line::address(const std::string &name) const
{
    const auto given = text(name);
    if (!given) {
        return std::nullopt;
    }
    auto address = parseHostPort(*given);
    if (!address) {
        throw usage_error{"--" + name + ": HOST:PORT expected, got " + *given};
    }
    return address;
}

host_port command_line::platform() const
{
    if (const auto given = address("platform")) {
        return *given;
    }
    const char *variable = std::getenv("CROCUSDEAL_PLATFORM");
    if (variable == nullptr) {
        throw usage_error{"address of the platform expected, by --platform or the variable CROCUSDEAL_PLATFORM"};
    }
    auto address = parseHostPort(variable);
    if (!address) {
        throw usage_error{std::string("CROCUSDEAL_PLATFORM: HOST:PORT expected, got ") + variable};
    }
    return *address;
}

void printError(const std::string &text)
{
    std::cerr << "crocusdeal: " << text << '\n';
}

}
