#pragma once

#include "clock.h"
#include "commands.h"
#include "hostport.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Arguments that the program cannot accept; the text says why. */
struct usage_error {
    std::string text;
};

/** The options and positional arguments of one subcommand. */
class command_line
{
public:
    /** @p usage is what follows "crocusdeal", @p text describes the command. */
    command_line(std::string usage, std::string text);
    ~command_line();
    command_line(const command_line &) = delete;
    command_line &operator=(const command_line &) = delete;

    void addFlag(const std::string &name, const std::string &help);
    void addText(const std::string &name, const std::string &help);
    /** May be given several times. */
    void addTexts(const std::string &name, const std::string &help);
    void addMilliseconds(const std::string &name, duration value, const std::string &help);
    /** --platform and --timeout-ms. */
    void addPlatform();

    /** Parses; nothing to do further if it gives a code, which is so after --help and for wrong arguments. */
    std::optional<exit_code> parse(const argument_list &arguments,
                                   std::size_t minPositional,
                                   std::size_t maxPositional);

    bool flag(const std::string &name) const;
    std::optional<std::string> text(const std::string &name) const;
    std::vector<std::string> texts(const std::string &name) const;
    duration milliseconds(const std::string &name) const;
    const std::vector<std::string> &positional() const;

    /** The address given as --NAME; throws usage_error if it is malformed. */
    std::optional<host_port> address(const std::string &name) const;
    /** --platform, or else the variable CROCUSDEAL_PLATFORM; throws usage_error without either. */
    host_port platform() const;

private:
    void printHelp() const;

    class content;
    std::unique_ptr<content> m_content;
};

/** Prints "crocusdeal: TEXT" on the error stream. */
void printError(const std::string &text);

/** Runs @p body; a usage_error is printed and gives exit_code::Usage. */
template<typename Body>
exit_code withUsage(Body body)
{
    try {
        return body();
    } catch (const usage_error &error) {
        printError(error.text);
        return exit_code::Usage;
    }
}

}
