#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusdeal
{

/** Work that waits to be sent to a target. */
struct waiting_work {
    int priority = 0; ///< 0 is the highest.
    time_point wantedBy; ///< Within a priority, the earliest is placed first.
    time_point refuseAt; ///< If not placed by then, the work is refused.
    bool isForPrimary = false; ///< Whether only the primary could run it when it was added.
    std::function<bool()> tryPlace; ///< Places the work if a target can take it now; returns whether it did.
    std::function<void()> refuse;
    std::function<void()> onEnded; ///< It does not wait any more, for whatever reason; may be empty.
};

/** Queue of waiting work, ordered by priority and then by wantedBy. */
class wait_queue
{
public:
    using ticket = std::uint64_t;

    ticket add(waiting_work work);
    void remove(ticket number);
    /** Tries to place every entry in order; an entry that cannot be placed does not block later ones. */
    void placeAll();
    /** Refuses all work whose refuseAt has passed. */
    void refuseExpired(time_point now);
    std::optional<time_point> nextRefusal() const;
    std::size_t size() const;
    /** The number of entries for the primary that would be placed before new work of this priority. */
    std::size_t aheadAtPrimary(int priority) const;

private:
    struct queue_key {
        int priority;
        time_point wantedBy;
        ticket number;

        friend auto operator<=>(const queue_key &, const queue_key &) = default;
    };

    std::map<queue_key, waiting_work> m_work;
    std::map<ticket, queue_key> m_keys;
    ticket m_next = 1;
};

}
