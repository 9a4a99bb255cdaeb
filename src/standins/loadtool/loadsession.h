#pragma once

#include "loadoptions.h"
#include "pgconnection.h"
#include "workkind.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What is known of a write after its answer. */
enum class write_outcome : std::uint8_t {
    Unknown, ///< No answer yet, or one that leaves it open.
    Acknowledged,
    Refused,
};

/** One session of the load: a caller with a counter of its own, over one connection after another. */
struct load_session {
    std::int64_t id = 0;
    bool stale = false; ///< Sets crocusdeal.max_staleness after connecting.
    std::size_t address = 0; ///< Index of the address in use.
    std::shared_ptr<pg_connection> connection;
    std::string token; ///< Last crocusdeal.session.
    int inFlight = 0;
    std::int64_t requests = 0; ///< On this connection.
    std::uint64_t acknowledged = 0; ///< Increments of the counter that were acknowledged.
    std::uint64_t unknown = 0; ///< Increments whose outcome is unknown.
};

/** A request ready to be sent. */
struct load_request {
    work_kind kind = work_kind::PointRead;
    double arrivalS = 0; ///< Scheduled, seconds after the start.
    std::size_t write = 0; ///< Write: index of the inserted id within the worker.
    bool ownRead = false; ///< Point read of the session's own counter.
    std::uint64_t acknowledgedBefore = 0; ///< Own counter when the request was sent.
    std::vector<sql_call> calls;
};

/** Builds the statements of requests. */
class request_builder
{
public:
    request_builder(const load_options &options, std::int64_t runId);

    /** @p item is a random row, @p writeId the id of an insert. */
    void build(load_request &request, const load_session &session, std::int64_t item, std::int64_t writeId) const;

private:
    sql_call call(const char *name, const std::string &sql, std::vector<std::string> values) const;

    const load_options &m_options;
    std::string m_runId;
};

/** Outcome of a write whose request ended this way. */
write_outcome writeOutcomeOf(const request_outcome &outcome, std::size_t statements, bool pipelined);

}
