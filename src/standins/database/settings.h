#pragma once

#include "grouptypes.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** The values of the command line that stay as they are. */
struct standin_options {
    std::string name = "database";
    std::string listenAddress = "127.0.0.1:0";
    std::string adminAddress;
    std::string followAddress;
    std::string dataFile; ///< Keeps term and log across restarts; empty: in memory only.
    target_role role = target_role::Primary;
    std::uint64_t term = 1;
    int threads = 4;
};

/** Values that may change while the stand-in runs. */
struct runtime_settings {
    std::atomic<std::int64_t> lagMs = 0; ///< A replica applies an entry this long after it received it.
    std::atomic<std::int64_t> connections = 100;
    std::atomic<std::int64_t> slots = 0; ///< Statements running at once; 0: no limit.
    std::atomic<std::int64_t> connectMs = 0; ///< Set-up time of a connection.
    std::atomic<std::int64_t> statementUs = 0; ///< Minimum time a statement holds its slot.
    /** A write transaction that is idle this long is aborted with 25P03 if others wait for the write lock; 0: never. */
    std::atomic<std::int64_t> idleTransactionMs = 1000;

    /** The setting of that name (`lag_ms`, `slots`, ...), null if there is none. */
    std::atomic<std::int64_t> *find(std::string_view name);
};

/** Splits "host:port"; throws std::invalid_argument for other text and for addresses other than loopback. */
std::pair<std::string, std::uint16_t> parseLoopbackAddress(const std::string &text);

}
