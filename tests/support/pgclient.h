#pragma once

#include <chrono>
#include <cstdint>
#include <libpq-fe.h>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The outcome of a statement: rows as text, and the SQLSTATE of an error, empty if there was none. */
struct pg_outcome {
    std::vector<std::vector<std::string>> rows;
    std::string tag;
    std::string sqlState;

    /** The value of the first row and column; empty if there is none. */
    std::string value() const;
};

/** A blocking libpq connection to a loopback port. */
class pg_client
{
public:
    explicit pg_client(std::uint16_t port, const std::string &parameters = "");

    bool connected() const;
    std::string error() const;
    /**
     * SQLSTATE "lost" stands for a connection that ended without an answer. If a FATAL error came while no statement
     * ran, which libpq passes on as a notice, the next statement has its SQLSTATE.
     */
    pg_outcome run(const std::string &sql);
    /** SQLSTATE "timeout" stands for no answer in time; the connection cannot be used any more then. */
    pg_outcome runWithin(const std::string &sql, std::chrono::milliseconds timeout);
    pg_outcome runParameters(const std::string &sql, const std::vector<std::string> &values);
    std::string parameterStatus(const std::string &name) const;
    PGconn *handle() const;
    pg_outcome outcomeOf(PGresult *result) const;

private:
    std::unique_ptr<std::string> m_fatalNotice;
    std::unique_ptr<PGconn, void (*)(PGconn *)> m_connection;
};

}
