#pragma once

#include "ledgertenure.h"
#include "permitmessages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** Settings of a permit ledger. */
struct permit_ledger_settings {
    int slots = 2; ///< Of the target.
    duration renewedFor{1000}; ///< How long a holder may start statements without a further answer.
    /** Least time from taking over to the first grant: until the earlier owner knows that it is not the owner any more.
     */
    duration settling{1000};
    duration longestStatement{10000}; ///< Deadline after which a running statement is aborted; at least renewedFor.
};

/**
 * Owner side of the fleet-wide permits for long statements on one target: at most slots - 1, at least one.
 *
 * A permit of a silent holder stays counted until the target shows that the holder's connections are closed, or for
 * twice the longest statement deadline: the holder may start a statement until its renewal ends, and the statement may
 * run until its deadline. A holder that returns after that with permits is counted again, above the capacity if need
 * be.
 *
 * Statements that turned out to be long while they run have no permit. They take places too, so that fewer permits are
 * granted while they run.
 *
 * Holders are served in the order in which they began to wait.
 *
 * A new owner grants nothing until all members that it knows have reported, or that time is over. If two instances take
 * themselves for the owner during a partition, each grants up to the capacity to the holders that follow it; long work
 * may then take all slots until the partition ends.
 */
class permit_ledger
{
public:
    /** Takes over at @p now. @p ledger differs from that of every other ledger. @p members are the instances that may
     * hold permits: the live ones, and failed ones whose connections may still be open. */
    permit_ledger(target_id target,
                  instance_id owner,
                  std::uint64_t ledger,
                  const std::vector<instance_id> &members,
                  permit_ledger_settings settings,
                  time_point now);

    /** Takes in a request and answers it; nothing for a late or repeated one. */
    std::optional<permit_grant> onRequest(const permit_request &request, time_point now);

    /** The holder has shut down. */
    void onRelease(const permit_release &release);

    /** The target's status shows that the connections of a failed holder, of this or an earlier incarnation, are
     * closed. */
    void onConnectionsClosed(const instance_id &holder, std::uint64_t incarnation);

    /** The configuration changed. Permits above a lower capacity remain until they are released. */
    void setSlots(int slots);

    /** Forgets holders that have been silent for the bound. To be called at least every 250 ms. */
    void tick(time_point now);

    /** The owner was paused: another one may have granted permits meanwhile. The ledger grants nothing any more; take
     * over anew if the instance is still the owner by a fresh view of the members. */
    bool isStale() const
    {
        return m_tenure.isStale();
    }

    int capacity() const;

    /** Permits that count against the capacity. */
    int granted() const;

    /** Places that long statements take: the permits, and the statements that run without one. */
    int occupied() const;

    /** Whether permits of an earlier owner may still be unknown. */
    bool isRebuilding(time_point now) const
    {
        return !mayGrant(now);
    }

private:
    struct holder_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heardAt;
        std::set<permit_id> permits;
        int wanted = 0;
        int running = 0;
        time_point waitingSince;
    };

    using holder_key = std::pair<instance_id, std::uint64_t>;

    duration silenceBound() const;
    void onMemberSettled(const instance_id &member);
    bool mayGrant(time_point now) const;
    permit_grant answerTo(const permit_request &request) const;
    holder_state *update(const permit_request &request, time_point now);
    void grantMore(holder_state &holder, time_point now);
    int waitingBefore(const holder_state &holder, time_point now) const;

    ledger_tenure m_tenure;
    permit_ledger_settings m_settings;
    std::map<holder_key, holder_state> m_holders;
    std::uint64_t m_lastNumber = 0;
    bool m_complete = false; ///< All members have reported, or the bound is over.
};

}
