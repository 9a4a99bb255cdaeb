#include "pgclient.h"

#include <poll.h>

#include <string_view>

namespace crocusdeal
{

std::string pg_outcome::value() const
{
    return rows.empty() || rows.front().empty() ? std::string() : rows.front().front();
}

namespace
{

void recordNotice(void *fatalNotice, const PGresult *notice)
{
    const char *severity = PQresultErrorField(notice, PG_DIAG_SEVERITY);
    const char *state = PQresultErrorField(notice, PG_DIAG_SQLSTATE);
    if (severity != nullptr && state != nullptr && std::string_view(severity) == "FATAL") {
        *static_cast<std::string *>(fatalNotice) = state;
    }
}

}

pg_client::pg_client(std::uint16_t port, const std::string &parameters)
    : m_fatalNotice(std::make_unique<std::string>())
    , m_connection(PQconnectdb(("host=127.0.0.1 user=test dbname=test sslmode=disable gssencmode=disable "
                                "connect_timeout=10 port="
                                + std::to_string(port) + ' ' + parameters)
                                   .c_str()),
                   PQfinish)
{
    PQsetNoticeReceiver(m_connection.get(), recordNotice, m_fatalNotice.get());
}

bool pg_client::connected() const
{
    return PQstatus(m_connection.get()) == CONNECTION_OK;
}

std::string pg_client::error() const
{
    return PQerrorMessage(m_connection.get());
}

pg_outcome pg_client::run(const std::string &sql)
{
    constexpr std::chrono::minutes veryLong{10};
    return runWithin(sql, veryLong);
}

pg_outcome pg_client::runWithin(const std::string &sql, std::chrono::milliseconds timeout)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + timeout;
    auto *handle = m_connection.get();
    pg_outcome outcome;
    outcome.sqlState = "lost";
    bool hasReason = false;
    if (PQsendQuery(handle, sql.c_str()) == 0) {
        outcome.sqlState = m_fatalNotice->empty() ? "lost" : *m_fatalNotice;
        return outcome;
    }
    for (;;) {
        while (PQisBusy(handle) != 0) {
            const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now()).count();
            pollfd ready{PQsocket(handle), POLLIN, 0};
            if (rest <= 0 || poll(&ready, 1, static_cast<int>(rest)) == 0) {
                outcome.sqlState = "timeout";
                return outcome;
            }
            PQconsumeInput(handle);
        }
        auto *result = PQgetResult(handle);
        if (result == nullptr) {
            return outcome;
        }
        // The reason that a FATAL error gave counts, not the end of the connection after it.
        auto next = outcomeOf(result);
        if (!hasReason || next.sqlState != "lost") {
            outcome = std::move(next);
        }
        hasReason = !outcome.sqlState.empty();
    }
}

pg_outcome pg_client::runParameters(const std::string &sql, const std::vector<std::string> &values)
{
    std::vector<const char *> pointers;
    pointers.reserve(values.size());
    for (const auto &value : values) {
        pointers.push_back(value.c_str());
    }
    const auto count = static_cast<int>(values.size());
    return outcomeOf(
        PQexecParams(m_connection.get(), sql.c_str(), count, nullptr, pointers.data(), nullptr, nullptr, 0));
}

std::string pg_client::parameterStatus(const std::string &name) const
{
    const char *value = PQparameterStatus(m_connection.get(), name.c_str());
    return value == nullptr ? "" : value;
}

PGconn *pg_client::handle() const
{
    return m_connection.get();
}

pg_outcome pg_client::outcomeOf(PGresult *result) const
{
    const std::unique_ptr<PGresult, void (*)(PGresult *)> owner(result, PQclear);
    pg_outcome outcome;
    const auto status = PQresultStatus(result);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK && status != PGRES_EMPTY_QUERY) {
        const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        outcome.sqlState = state != nullptr ? state : m_fatalNotice->empty() ? "lost" : *m_fatalNotice;
        return outcome;
    }
    outcome.tag = PQcmdStatus(result);
    for (int row = 0; row < PQntuples(result); ++row) {
        auto &values = outcome.rows.emplace_back();
        for (int column = 0; column < PQnfields(result); ++column) {
            values.emplace_back(PQgetvalue(result, row, column));
        }
    }
    return outcome;
}

}
