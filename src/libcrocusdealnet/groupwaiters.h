#pragma once

#include "databasegroup.h"
#include "readindex.h"
#include "writeconfirmation.h"

#include <functional>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** The callers' callbacks that wait for a group's databases, and the aggregates that decide when they run. */
class group_waiters
{
public:
    using confirm_callback = std::function<void(confirm_result)>;
    using index_callback = std::function<void(std::optional<position>)>;
    using wait_callback = std::function<void(bool reached)>;
    using completions = std::vector<std::function<void()>>;

    struct asks {
        std::function<void(const ask_status &)> status;
        std::function<void(const ask_wait &)> wait;
    };

    group_waiters(confirm_mode mode, asks targets);

    void setMode(confirm_mode mode);
    void addWrite(position at, time_point deadline, confirm_callback done);
    void addIndex(time_point startedAt, time_point deadline, index_callback done);
    void addReplicaWait(const target_id &target, position at, time_point deadline, wait_callback done);
    bool empty() const;
    bool hasWrites() const;

    /** Asks the targets for what is missing and returns the callbacks that are due. */
    completions update(const database_group &group, time_point now);

    /** Everything still waiting ends as after its deadline. */
    completions abandon();

private:
    struct replica_wait {
        target_id target;
        position at;
        time_point deadline;
        wait_callback done;
    };

    void updateIndex(const database_group &group, time_point now, completions &due);
    void updateWrites(const database_group &group, time_point now, completions &due);
    void updateReplicaWaits(const database_group &group, time_point now, completions &due);

    asks m_asks;
    read_index m_readIndex;
    write_confirmation m_confirmation;
    waiter_id m_nextWaiter = 1;
    std::map<waiter_id, confirm_callback> m_writes;
    std::map<waiter_id, index_callback> m_indexes;
    std::vector<replica_wait> m_replicaWaits;
};

}
