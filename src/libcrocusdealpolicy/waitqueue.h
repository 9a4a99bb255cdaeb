#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusdeal
{

/** Work that waits for a target. */
struct waiting_work {
    int priority = 0; ///< 0 goes first.
    time_point wantedBy; ///< Within a priority the earliest goes first.
    time_point refuseAt; ///< When it is refused if it has not been placed.
    bool isForPrimary = false; ///< Only the primary could run it when it was added.
    std::function<bool()> tryPlace; ///< Places the work if a target can take it now.
    std::function<void()> refuse;
};

/** Work in the order in which it is to be placed. */
class wait_queue
{
public:
    using ticket = std::uint64_t;

    ticket add(waiting_work work);
    void remove(ticket number);
    /** Offers every entry in order; work that does not fit lets later work pass. */
    void placeAll();
    /** Refuses what has waited too long. */
    void refuseExpired(time_point now);
    std::optional<time_point> nextRefusal() const;
    std::size_t size() const;
    /** How much work for the primary goes before new work of this priority. */
    std::size_t aheadAtPrimary(int priority) const;

private:
    struct order {
        int priority;
        time_point wantedBy;
        ticket number;

        friend auto operator<=>(const order &, const order &) = default;
    };

    std::map<order, waiting_work> m_work;
    std::map<ticket, order> m_orders;
    ticket m_next = 1;
};

}
