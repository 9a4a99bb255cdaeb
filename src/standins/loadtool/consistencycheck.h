#pragma once

#include "loadoptions.h"
#include "loadworker.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What the check phase found. */
struct check_result {
    bool done = false;
    std::string failure; ///< Why the check could not be completed.
    std::uint64_t acknowledged = 0; ///< Acknowledged inserts and increments.
    std::uint64_t lost = 0; ///< Acknowledged but absent.
    std::uint64_t doubled = 0; ///< Present more often than they were sent.
    std::uint64_t refusedButPresent = 0; ///< Reported as not run but present.
    std::uint64_t unknown = 0; ///< Without a known outcome.
    std::uint64_t unknownPresent = 0; ///< Inserts of unknown outcome that took effect.

    bool hasFindings() const;
};

/** Creates the tables anew; throws std::runtime_error. */
void createTables(const load_options &options);
/** Adds the counters of the sessions of a run; throws std::runtime_error. */
void createCounters(const load_options &options,
                    std::int64_t runId,
                    const std::vector<std::unique_ptr<load_worker>> &workers);
/** Reads all writes of a run back over new connections. */
check_result checkWrites(const load_options &options,
                         std::int64_t runId,
                         const std::vector<std::unique_ptr<load_worker>> &workers);

}
