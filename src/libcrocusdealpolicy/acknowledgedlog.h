#pragma once

#include "clock.h"
#include "identifiers.h"
#include "position.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusdeal
{

/**
 * Tracks which part of the log of one service a new primary must hold, as far as this instance knows.
 *
 * An acknowledged commit is on the primary and at least one replica. While every replica of the term keeps its log, the
 * most advanced of all holds it. A replica that leaves or starts again takes its log with it: from then on some commits
 * may be on the primary alone, until the primary has told how far its log went and another target holds as much.
 *
 * A target that is reached again may have started again as well, before its entry tells of it. Its log is in doubt
 * until the primary has answered, or the target is known to be what it was.
 */
class acknowledged_log
{
public:
    /** A commit at @p at is acknowledged to a caller of this instance. */
    void recordCommit(const position &at);
    /** The primary answered a question of @p askedAt, with a log up to @p at; @p term is 0 if it did not tell its term.
     */
    void recordPrimary(const target_id &primary, std::uint64_t term, const position &at, time_point askedAt);
    /** A target has left or started again, and its log is lost; found out at @p now. */
    void recordLostLog(const target_id &target, time_point now);

    /** The target is reached again, after there was no connection to it. */
    void recordLogInDoubt(const target_id &target, time_point now);
    /** The target has not started again since its log came into doubt. */
    void recordLogKept(const target_id &target);
    /** The targets whose logs are in doubt, and since when. */
    const std::map<target_id, time_point> &logsInDoubt() const;
    /**
     * A target that is not primary answered at @p now to a question of @p askedAt, in @p term with a log up to @p at.
     * Returns whether the log has become shorter within the term, and so was lost.
     */
    bool recordSeen(const target_id &target,
                    std::uint64_t term,
                    const position &at,
                    time_point askedAt,
                    time_point now);

    /** Whether the primary has answered since the last loss, in a term that is not older than @p newestTerm. */
    bool isCovered(std::uint64_t newestTerm) const;
    /** Whether neither the primary nor a loss was ever recorded: nothing is known of the time before. */
    bool isEmpty() const;
    /** The highest commit that this instance has acknowledged, or has heard of from another one. */
    const position &committed() const;
    /** What a target must hold at least, in any case; enough only if isCovered(). */
    position required() const;

private:
    struct seen_log {
        std::uint64_t term = 0;
        position at;
        time_point answeredAt = never;
    };

    std::optional<target_id> m_primary;
    std::uint64_t m_term = 0;
    time_point m_lostAt = never;
    /** The first position of the primary that is known from after the last loss; later ones may not be acknowledged. */
    std::optional<position> m_covered;
    position m_committed;
    std::map<target_id, time_point> m_inDoubt;
    std::map<target_id, seen_log> m_seen;
};

}
