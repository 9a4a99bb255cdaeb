#pragma once

#include "pgclient.h"
#include "processrunner.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A running databasestandin with an admin port. */
class database_process
{
public:
    explicit database_process(std::vector<std::string> arguments = {}, const std::string &errorFile = "");

    std::uint16_t port() const;
    std::string address() const;
    child_process &process();
    /** The answer to one line command of the admin port. */
    std::string admin(const std::string &command) const;
    /** First value of a statement over a new connection; the SQLSTATE if it failed. */
    std::string ask(const std::string &sql) const;

private:
    std::unique_ptr<child_process> m_process;
    std::uint16_t m_port = 0;
    std::uint16_t m_adminPort = 0;
};

}
