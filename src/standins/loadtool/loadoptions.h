#pragma once

#include "workkind.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusdeal
{

enum class query_protocol {
    Simple,
    Extended,
    Prepared,
};

inline constexpr auto queryProtocolNames = makeNameTable<query_protocol>("simple", "extended", "prepared");

/** Everything the command line says about a run. */
struct load_options {
    std::vector<std::string> addresses; ///< host:port, in the order of roaming.
    std::string checkAddress; ///< For the tables and the check phase; default: the first address.
    std::string database = "load";
    std::string user = "load";
    bool setup = false;
    std::int64_t items = 1000; ///< Rows for point reads.

    double durationS = 10;
    double drainS = 5; ///< How long to wait for answers after the last arrival.
    double rate = 100; ///< Arrivals a second over all connections.
    double swing = 1; ///< Factor on the rate between the two times.
    double swingStartS = 0;
    double swingEndS = 0;
    double swingRampS = 0; ///< Time for the change at both ends.
    std::uint64_t seed = 1;

    int threads = 1;
    int connections = 10;
    int idleConnections = 0;
    std::array<double, workKindCount> weights = {1, 0, 0, 0, 0};
    std::int64_t stalenessMs = 5000;
    std::int64_t stragglerMs = 1000;
    bool stragglerScans = false; ///< A self-join instead of pg_sleep.
    double ownReads = 0.5; ///< Share of the point reads that read the session's own counter.

    bool closedLoop = false;
    int pipeline = 1; ///< Requests in flight on a connection, closed loop only.
    query_protocol protocol = query_protocol::Extended;
    std::int64_t deadlineMs = 2000;
    std::int64_t timeoutMs = 10000; ///< An unanswered request ends its connection.
    bool giveUp = false; ///< A request that waited longer than the deadline for a connection is not sent.
    bool token = false;
    std::int64_t roamAfter = 0; ///< Requests after which a session moves to the next address; 0: only on failure.

    bool check = true;
    std::string jsonFile;
    std::string svgFile;
};

/** False if the program is to end at once. Throws boost::program_options::error. */
bool readLoadOptions(int argc, char **argv, load_options &options);

/** Connection string for an address; throws std::invalid_argument. */
std::string connectionString(const load_options &options, const std::string &address, const std::string &sessionToken);

}
