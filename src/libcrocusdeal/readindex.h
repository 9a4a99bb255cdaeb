#pragma once

#include "controlaction.h"
#include "databasegroup.h"

#include <map>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** The answer to one waiter of the read index. */
struct read_index_result {
    waiter_id waiter = 0;
    std::optional<position> at; ///< Nothing if the deadline passed.
};

struct read_index_step {
    std::vector<ask_status> asks;
    std::vector<read_index_result> results;
};

/**
 * Gives sessions of unknown history a position that includes every write acknowledged before they started.
 *
 * The position is the primary's, by a query sent after the session started, once a majority of the databases showed by
 * queries sent after the start that no newer term had a primary then. Source: the read index of Raft (Ongaro 2014,
 * section 6.4). One round of queries serves all waiters.
 */
class read_index
{
public:
    void add(waiter_id id, time_point startedAt, time_point deadline);
    void cancel(waiter_id id);
    bool empty() const;

    /** To be called after a waiter was added or an observation was made, and on every tick. */
    read_index_step update(const database_group &group, time_point now);

private:
    struct waiter {
        time_point startedAt;
        time_point deadline;
    };

    std::map<waiter_id, waiter> m_waiters;
};

}
