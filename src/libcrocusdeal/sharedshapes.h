#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** What an instance measured of a statement shape. */
struct shared_shape {
    std::uint64_t fingerprint = 0;
    duration expected{0};
    bool isLong = true; ///< False: corrects a report of another instance.

    friend bool operator==(const shared_shape &, const shared_shape &) = default;
};

/** Shapes in one message at most; 17 bytes each. */
inline constexpr std::size_t maxShapesPerMessage = 32;

/** Holder to owner: shapes measured as long or corrected, and the request for those of the other holders. */
struct shape_report {
    target_id target;
    instance_id holder;
    std::uint64_t sequence = 0; ///< Rises with each report of the holder.
    std::uint64_t ledger = 0; ///< The ledger that `seen` refers to; 0 if the holder knows none.
    std::uint64_t seen = 0; ///< Version up to which the holder has the owner's shapes.
    std::vector<shared_shape> shapes;
};

/** Owner to holder: answers one report with shapes that the holder has not seen. */
struct shape_update {
    target_id target;
    instance_id holder;
    std::uint64_t ledger = 0;
    std::uint64_t answers = 0; ///< Sequence of the report.
    std::uint64_t version = 0; ///< The next value of `seen`.
    std::vector<shared_shape> shapes;
};

/** Bounds of the shapes that an owner remembers. */
struct shape_ledger_settings {
    std::size_t maxShapes = 256;
    duration keptFor{60000}; ///< After the last report; three times the interval of the holders.
};

/**
 * Owner side: the shapes that holders reported for one target. A full table forgets the shape that was reported least
 * recently.
 *
 * A correction wins over reports that a shape is long: a short statement may take long because it waits in the target,
 * but a long one is never short. It is kept for the same time, so that a shape that became long is accepted after that.
 */
class shape_ledger
{
public:
    /** @p ledger differs from that of every other ledger. */
    explicit shape_ledger(std::uint64_t ledger, shape_ledger_settings settings = {});

    /** Takes in a report and answers it. Repeated and late reports are harmless. */
    shape_update onReport(const shape_report &report, time_point now);

    std::size_t size() const
    {
        return m_shapes.size();
    }

private:
    struct known_shape {
        duration expected;
        bool isLong = true;
        std::uint64_t version = 0;
        time_point reportedAt;
    };

    void forgetOld(time_point now);
    void take(const shared_shape &shape, time_point now);

    std::uint64_t m_ledger;
    shape_ledger_settings m_settings;
    std::unordered_map<std::uint64_t, known_shape> m_shapes;
    std::map<std::uint64_t, std::uint64_t> m_byVersion; ///< Fingerprints.
    std::uint64_t m_version = 0;
};

/**
 * Holder side for one target: reports the shapes that this instance measured as long or corrects, each again every
 * 20 s, and receives those of the others.
 */
class shape_reporter
{
public:
    shape_reporter(target_id target, instance_id self);

    /** The owner by the present view of the members; empty if there is none. */
    void setOwner(const instance_id &owner);

    /** All shapes that the others should know by now. */
    void setMeasured(std::vector<shared_shape> shapes);

    /** The report to send now. Without new shapes to report there is one only if @p piggybacked, that is if other
     * messages go to the owner anyway. */
    std::vector<shape_report> poll(bool piggybacked, time_point now);

    /** Takes in the answer to the last report; returns the shapes that others reported. */
    std::vector<shared_shape> onUpdate(const shape_update &update);

private:
    std::vector<shared_shape> due(time_point now) const;

    target_id m_target;
    instance_id m_self;
    instance_id m_owner;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_answered = 0; ///< Sequence of the last report that was answered.
    std::uint64_t m_ledger = 0;
    std::uint64_t m_seen = 0;
    std::vector<shared_shape> m_measured;
    std::map<std::pair<std::uint64_t, bool>, time_point> m_reportedAt; ///< By shape and whether it was long.
    std::vector<shared_shape> m_sent; ///< In the last report.
    time_point m_sentAt = never;
};

}
