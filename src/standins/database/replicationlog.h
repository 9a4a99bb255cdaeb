#pragma once

#include "position.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

using sql_values = std::vector<std::optional<std::string>>;

/** A statement with its parameters, as it runs again on a replica. */
struct logged_statement {
    std::string sql;
    sql_values values;
    std::vector<std::int32_t> types; ///< Type OIDs of the parameters; may be shorter than the values.
};

/** One committed transaction. */
struct log_entry {
    position at;
    std::int64_t nowUs = 0; ///< Result of now(), microseconds since 1970.
    std::uint64_t seed = 0; ///< Seed of random().
    std::vector<logged_statement> statements;
};

using log_entry_ptr = std::shared_ptr<const log_entry>;

/** The committed transactions of one database; offsets count on from 1 across terms. */
class replication_log
{
public:
    position last() const;
    void append(log_entry_ptr entry);
    void truncate(std::uint64_t lastOffset);

    /** The last position of each term, ascending. */
    std::vector<position> termEnds() const;
    /**
     * The last position that this log shares with a log of those term ends.
     *
     * As in Raft, only one database writes in a term, so equal positions mean equal logs up to there.
     */
    position commonWith(const std::vector<position> &otherTermEnds) const;

    /** Entries after @p offset, as many as fit into @p maxEntries. */
    std::vector<log_entry_ptr> after(std::uint64_t offset, std::size_t maxEntries) const;

private:
    std::vector<log_entry_ptr> m_entries;
    std::vector<position> m_termEnds;
};

}
