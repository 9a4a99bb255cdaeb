#pragma once

#include "reportedconfiguration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace crocusdeal
{

/**
 * What proves that the configuration in force here is, or lately was, the newest one in the store.
 *
 * Answers of the store that may not be old, of this instance or of others, each say: at this time no version above this
 * one was there. Such a statement proves the version in force current at that time if that is the same version or a
 * later one, and nothing otherwise. So no statement becomes wrong with age, and their order of arrival is of no
 * consequence. Times are those of the clock that goes on in suspension.
 */
class configuration_evidence
{
public:
    /** The version that this instance goes by; a lower one than before is ignored. */
    void setInForce(std::uint64_t version);
    /** An own answer, which may not be old, says that @p version was the newest at @p at. */
    void recordReading(std::uint64_t version, time_point at);
    /** Another instance reported this in an answer to a message that was sent at @p questionSentAt. */
    void recordReport(const reported_configuration &report, time_point questionSentAt);

    /** The latest time at which the version in force is known to have been the newest; never if there is none. */
    time_point currentAt() const;
    /** As currentAt(), by what other instances have reported alone. */
    time_point reportedAt() const;
    /** The newest version that is known to exist; may not be in force yet. */
    std::uint64_t newestKnown() const;
    /** What to tell other instances; nothing before the first evidence. */
    std::optional<reported_configuration> report(time_point now) const;

private:
    void record(std::uint64_t version, time_point at);

    std::uint64_t m_inForce = 0;
    std::uint64_t m_newestKnown = 0;
    /** By version, the latest time at which no later one was there; both grow from entry to entry. */
    std::map<std::uint64_t, time_point> m_statements;
    time_point m_reportedAt = never;
};

/** When evidence has to be renewed so that it does not lapse; spans that count from configuration_evidence's times. */
struct evidence_times {
    duration validFor; ///< Work with keys may run for so long after currentAt().
    duration watchWait; ///< Of a watch that keeps the evidence fresh.
    duration staleAfter; ///< Evidence of this age is renewed by an own question.
};

/**
 * @p revocationTime is how long after a change a key that it took away may be used; @p rank is the place of the
 * instance among those that could renew the evidence for all, so that not all of them ask at the same moment.
 */
evidence_times evidenceTimes(duration revocationTime, std::size_t rank);

}
