#pragma once

#include "databasefact.h"
#include "memberinfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusdeal
{

enum class datagram_kind : std::uint8_t {
    Probe, ///< Asks the receiver for an Ack.
    Ack, ///< Answers a Probe, or relays the answer of `subject`.
    Nack, ///< The relay is alive but got no answer from `subject` (Lifeguard).
    ProbeRequest, ///< Asks the receiver to probe `subject`.
    Gossip, ///< Carries facts only; not answered.
};

inline constexpr auto datagramKindNames =
    makeNameTable<datagram_kind>("probe", "ack", "nack", "probe-request", "gossip");

/** A statement about one member. Only facts with a description can introduce a member. */
struct member_fact {
    instance_id about;
    std::uint32_t incarnation = 0;
    member_state state = member_state::Alive;
    std::shared_ptr<const member_description> description;
    std::uint64_t configurationVersion = 0;
};

/** A datagram between two instances. */
struct peer_datagram {
    datagram_kind kind = datagram_kind::Probe;
    std::uint32_t sequence = 0; ///< Chosen by the prober, repeated in the answer.
    instance_id from;
    std::uint32_t fromIncarnation = 0;
    member_state fromState = member_state::Alive;
    instance_id to; ///< Empty if only the address is known.
    std::uint64_t configurationVersion = 0;
    std::uint32_t tableDigest = 0; ///< Digest of the sender's live members.
    std::uint8_t health = 0;
    bool needsDescription = false; ///< The sender does not know the receiver's description.
    instance_id subject; ///< ProbeRequest, Nack and relayed Ack: the member probed on behalf of another.
    std::string subjectAddress; ///< ProbeRequest only.
    std::vector<member_fact> members;
    std::vector<std::uint32_t> wantedGroups; ///< Probe: hashes of the groups whose facts the sender wants.
    std::vector<database_fact> databases;
};

/** Members and database facts a datagram may carry of each kind. */
inline constexpr std::size_t maxFactsPerDatagram = 6;

}
