#pragma once

#include "clock.h"

#include <cstddef>
#include <optional>
#include <random>
#include <string>

namespace crocusdeal
{

/**
 * When to pull a peer's full member table: at start, after a pause, and when digests show that tables stay different.
 *
 * The comparison of tables is the anti-entropy of SWIM's successors; it repairs what bounded retransmission missed.
 */
class table_pulls
{
public:
    /** Compares the digest of a received datagram with the own one. */
    void noteDigest(bool equal, const std::string &source);
    /** Pulls at the next chance whatever the digests say, as after a pause. */
    void request(time_point now);
    /** A table of @p members arrived. */
    void received(time_point now, std::size_t members);

    /** Whether a pull is due only because a table was requested; then any member may be asked. */
    bool isRequestDue(time_point now) const;
    void requested(time_point now);
    /** The member to pull from because tables differ; nothing if none is due. */
    std::optional<std::string> divergedPeer(time_point now,
                                            std::size_t fleet,
                                            std::size_t tableSize,
                                            std::mt19937_64 &random);

private:
    bool m_needed = true;
    int m_earlyPulls = 0;
    time_point m_next = never;
    int m_divergence = 0; ///< Rises with each datagram of another digest and falls with each of an equal one.
    std::string m_divergedFrom;
};

}
