#include "loadsession.h"

#include <algorithm>
#include <cctype>

namespace crocusdeal
{

namespace
{

/** Replaces $1, $2, ... by the values, all of which are numbers. */
std::string withValues(const std::string &sql, const std::vector<std::string> &values)
{
    std::string text;
    for (std::size_t i = 0; i < sql.size(); ++i) {
        if (sql[i] == '$' && i + 1 < sql.size() && std::isdigit(static_cast<unsigned char>(sql[i + 1])) != 0) {
            text += values[static_cast<std::size_t>(sql[++i] - '1')];
        } else {
            text.push_back(sql[i]);
        }
    }
    return text;
}

/** Errors after which a statement may have taken effect. */
bool leavesOutcomeOpen(const std::string &sqlState)
{
    return sqlState == "lost" || sqlState == "timeout" || sqlState.rfind("08", 0) == 0 || sqlState == "57P01"
        || sqlState == "57P02";
}

}

request_builder::request_builder(const load_options &options, std::int64_t runId)
    : m_options(options)
    , m_runId(std::to_string(runId))
{
}

sql_call request_builder::call(const char *name, const std::string &sql, std::vector<std::string> values) const
{
    switch (m_options.protocol) {
    case query_protocol::Simple:
        return {withValues(sql, values), {}, {}};
    case query_protocol::Prepared:
        return {sql, std::move(values), name};
    default:
        return {sql, std::move(values), {}};
    }
}

void request_builder::build(load_request &request,
                            const load_session &session,
                            std::int64_t item,
                            std::int64_t writeId) const
{
    const auto own = std::to_string(session.id);
    const auto counter = [&] {
        return call("counter", "SELECT n FROM load_counters WHERE run = $1 AND id = $2", {m_runId, own});
    };
    switch (request.kind) {
    case work_kind::PointRead:
    case work_kind::StaleRead:
        request.calls = {request.ownRead
                             ? counter()
                             : call("item", "SELECT v FROM load_items WHERE id = $1", {std::to_string(item)})};
        break;
    case work_kind::Write:
        request.calls = {
            call("insert", "INSERT INTO load_writes (run, id) VALUES ($1, $2)", {m_runId, std::to_string(writeId)})};
        break;
    case work_kind::Transaction:
        request.calls = {
            {"BEGIN", {}, {}},
            counter(),
            call("update", "UPDATE load_counters SET n = n + 1 WHERE run = $1 AND id = $2", {m_runId, own}),
            {"COMMIT", {}, {}}};
        break;
    case work_kind::Straggler:
        if (m_options.stragglerScans) {
            request.calls = {call("scan", "SELECT count(*) FROM load_items a, load_items b WHERE a.v < b.v", {})};
        } else {
            const auto seconds = std::to_string(static_cast<double>(m_options.stragglerMs) / 1000);
            request.calls = {call("sleep", "SELECT pg_sleep(" + seconds + ")", {})};
        }
        break;
    }
}

write_outcome writeOutcomeOf(const request_outcome &outcome, std::size_t statements, bool pipelined)
{
    if (outcome.sqlState.empty()) {
        return write_outcome::Acknowledged;
    }
    // A transaction that fails before its COMMIT was sent has no effect.
    const bool commitSent = pipelined || outcome.failedAt + 1 == statements;
    return commitSent && leavesOutcomeOpen(outcome.sqlState) ? write_outcome::Unknown : write_outcome::Refused;
}

}
