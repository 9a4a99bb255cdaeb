#include "consistencycheck.h"

#include <libpq-fe.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace crocusdeal
{

namespace
{

constexpr std::int64_t rowsPerInsert = 500;
constexpr std::int64_t rowsPerRead = 5000;
/** The check starts when a failover may still be under way. */
constexpr int checkAttempts = 40;
constexpr auto attemptPause = std::chrono::milliseconds(250);

using result_ptr = std::unique_ptr<PGresult, void (*)(PGresult *)>;

class check_connection
{
public:
    explicit check_connection(const load_options &options)
        : m_connection(PQconnectdb(connectionString(options, options.checkAddress, {}).c_str()), PQfinish)
    {
        if (PQstatus(m_connection.get()) != CONNECTION_OK) {
            throw std::runtime_error(PQerrorMessage(m_connection.get()));
        }
    }

    result_ptr run(const std::string &sql)
    {
        result_ptr result(PQexec(m_connection.get(), sql.c_str()), PQclear);
        const auto status = PQresultStatus(result.get());
        if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
            throw std::runtime_error(sql.substr(0, 80) + ": " + PQerrorMessage(m_connection.get()));
        }
        return result;
    }

private:
    std::unique_ptr<PGconn, void (*)(PGconn *)> m_connection;
};

using counts = std::unordered_map<std::int64_t, std::uint64_t>;

/** Reads pairs of id and number; @p query gets the last id read. */
counts readPairs(check_connection &connection, const std::function<std::string(std::int64_t)> &query)
{
    counts pairs;
    std::int64_t last = -1;
    for (;;) {
        const auto result = connection.run(query(last));
        const int rows = PQntuples(result.get());
        for (int row = 0; row < rows; ++row) {
            last = std::stoll(PQgetvalue(result.get(), row, 0));
            pairs[last] = std::stoull(PQgetvalue(result.get(), row, 1));
        }
        if (rows < rowsPerRead) {
            return pairs;
        }
    }
}

std::uint64_t countOf(const counts &pairs, std::int64_t id)
{
    const auto found = pairs.find(id);
    return found == pairs.end() ? 0 : found->second;
}

void checkInserts(const load_worker &worker, const counts &present, check_result &result)
{
    const auto &writes = worker.writes();
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto count = countOf(present, worker.firstWriteId() + static_cast<std::int64_t>(i));
        result.doubled += count > 1 ? count - 1 : 0;
        switch (writes[i]) {
        case write_outcome::Acknowledged:
            ++result.acknowledged;
            result.lost += count == 0 ? 1 : 0;
            break;
        case write_outcome::Refused:
            result.refusedButPresent += count > 0 ? 1 : 0;
            break;
        case write_outcome::Unknown:
            ++result.unknown;
            result.unknownPresent += count > 0 ? 1 : 0;
            break;
        }
    }
}

void checkCounters(const load_worker &worker, const counts &values, check_result &result)
{
    for (const auto &session : worker.sessions()) {
        const auto value = countOf(values, session.id);
        result.acknowledged += session.acknowledged;
        result.unknown += session.unknown;
        result.lost += value < session.acknowledged ? session.acknowledged - value : 0;
        const auto highest = session.acknowledged + session.unknown;
        // Which of the increments were too many, doubled ones or refused ones, cannot be told apart.
        result.doubled += value > highest ? value - highest : 0;
    }
}

check_result tryCheck(const load_options &options,
                      std::int64_t runId,
                      const std::vector<std::unique_ptr<load_worker>> &workers)
{
    check_connection connection(options);
    const auto run = std::to_string(runId);
    const auto limit = std::to_string(rowsPerRead);
    const auto inserts = readPairs(connection, [&](std::int64_t last) {
        return "SELECT id, count(*) FROM load_writes WHERE run = " + run + " AND id > " + std::to_string(last)
            + " GROUP BY id ORDER BY id LIMIT " + limit;
    });
    const auto counters = readPairs(connection, [&](std::int64_t last) {
        return "SELECT id, n FROM load_counters WHERE run = " + run + " AND id > " + std::to_string(last)
            + " ORDER BY id LIMIT " + limit;
    });
    check_result result;
    for (const auto &worker : workers) {
        checkInserts(*worker, inserts, result);
        checkCounters(*worker, counters, result);
    }
    result.done = true;
    return result;
}

}

bool check_result::hasFindings() const
{
    return lost + doubled + refusedButPresent > 0;
}

void createTables(const load_options &options)
{
    check_connection connection(options);
    for (const auto *sql : {"DROP TABLE IF EXISTS load_items",
                            "DROP TABLE IF EXISTS load_writes",
                            "DROP TABLE IF EXISTS load_counters",
                            "CREATE TABLE load_items (id bigint PRIMARY KEY, v text)",
                            "CREATE TABLE load_writes (run bigint, id bigint)",
                            // Not unique, so that a doubled write is seen and not refused.
                            "CREATE INDEX load_writes_id ON load_writes (run, id)",
                            "CREATE TABLE load_counters (run bigint, id bigint, n bigint, PRIMARY KEY (run, id))"}) {
        connection.run(sql);
    }
    for (std::int64_t first = 1; first <= options.items; first += rowsPerInsert) {
        std::string sql = "INSERT INTO load_items (id, v) VALUES ";
        for (auto id = first; id <= options.items && id < first + rowsPerInsert; ++id) {
            sql += (id == first ? "(" : ",(") + std::to_string(id) + ",'item " + std::to_string(id) + "')";
        }
        connection.run(sql);
    }
}

void createCounters(const load_options &options,
                    std::int64_t runId,
                    const std::vector<std::unique_ptr<load_worker>> &workers)
{
    check_connection connection(options);
    std::string values;
    for (const auto &worker : workers) {
        for (const auto &session : worker->sessions()) {
            values += (values.empty() ? "(" : ",(") + std::to_string(runId) + ',' + std::to_string(session.id) + ",0)";
        }
    }
    connection.run("INSERT INTO load_counters (run, id, n) VALUES " + values);
}

check_result checkWrites(const load_options &options,
                         std::int64_t runId,
                         const std::vector<std::unique_ptr<load_worker>> &workers)
{
    check_result result;
    for (int attempt = 0; attempt < checkAttempts; ++attempt) {
        try {
            return tryCheck(options, runId, workers);
        } catch (const std::runtime_error &error) {
            result.failure = error.what();
            std::this_thread::sleep_for(attemptPause);
        }
    }
    return result;
}

}
