#pragma once

#include "clock.h"
#include "disseminationqueue.h"
#include "localhealth.h"
#include "memberinfo.h"
#include "membertable.h"
#include "partitionhealing.h"
#include "peerdatagram.h"
#include "probeorder.h"
#include "proberelays.h"
#include "suspicionverifier.h"
#include "tablepulls.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

struct membership_settings {
    member_description self;
    std::vector<std::string> seeds; ///< Control addresses.
    duration probeInterval{1000};
    duration directTimeout{300}; ///< Longest round trip between regions plus scheduling delay.
    duration suspicionPerDoubling{1000}; ///< Suspicion lasts this times log2 of the fleet, times own health.
    duration healingInterval{5000}; ///< Between tries of members that are dead here but listed elsewhere.
    duration retention{3600000}; ///< How long dead and leaving members are remembered.
    duration pauseBound{5000}; ///< A longer gap between ticks is a pause.
};

struct send_datagram {
    std::string address;
    peer_datagram datagram;
};

/** Request for the full member table of the member at @p address, over TCP. */
struct pull_table {
    std::string address;
};

struct membership_actions {
    std::vector<send_datagram> datagrams;
    std::vector<member_info> changed;
    std::vector<pull_table> pulls;
    /** Set when the input was an answer to an own probe: when that probe was sent. */
    std::optional<time_point> answeredProbeSentAt;
};

/**
 * Membership and failure detection of the fleet.
 *
 * SWIM with suspicion (Das, Gupta, Motivala 2002) and the local health of Lifeguard (Dadgar, Phillips, Currey 2018):
 * one probe a second, indirect probes through three members, a suspicion before death, refutation by incarnation
 * numbers, and facts piggybacked on the datagrams. tick() has to be called about every 100 ms.
 */
class membership
{
public:
    membership(membership_settings settings, std::uint64_t randomSeed);

    membership_actions tick(time_point now);
    /** @p source is the address from which the datagram came. */
    membership_actions receive(time_point now, const peer_datagram &datagram, const std::string &source);
    /** Merges a table pulled over TCP. */
    membership_actions tableReceived(time_point now, const std::vector<member_fact> &facts);
    /** Takes over the platform's list; entries are hints to probe, and leaving ones count as leaving. */
    membership_actions setPlatformInstances(const std::vector<listed_instance> &instances);
    /** Announces that this instance is shutting down. */
    membership_actions leave();
    /** Sends what is new to a few random members at the next two ticks instead of waiting for probes. */
    void spreadSoon();
    void setConfigurationVersion(std::uint64_t version)
    {
        m_configurationVersion = version;
    }
    /** Probes @p id for its facts now; silence is not counted against it. */
    membership_actions query(time_point now, const instance_id &id);

    /** The full table with this instance itself, as answered to a pull. */
    std::vector<member_fact> table() const;
    /** All members including this instance, with the platform's list applied. */
    std::vector<member_info> members() const;
    member_info self() const;
    const member_table &known() const
    {
        return m_table;
    }
    int healthScore() const
    {
        return m_health.score();
    }
    /** Live members including this instance. */
    std::size_t fleetSize() const;
    duration suspicionTimeout() const;
    std::size_t queuedFacts() const
    {
        return m_queue.size();
    }
    std::uint32_t digest() const;

private:
    struct probe {
        std::uint32_t sequence = 0;
        std::shared_ptr<const member_description> target;
        time_point sentAt;
        time_point directDeadline;
        time_point deadline;
        int relays = 0; ///< Members asked to probe indirectly that have not answered with a Nack.
        bool relayed = false;
        bool answered = false;
    };

    void resumeAfterPause(time_point now);
    void startProbe(time_point now, membership_actions &actions);
    void requestIndirectProbes(membership_actions &actions);
    void finishProbe(time_point now, membership_actions &actions);
    void expireSuspicions(time_point now, membership_actions &actions);
    void expireRelays(time_point now, membership_actions &actions);
    void healPartitions(time_point now, membership_actions &actions);
    void sendGossip(membership_actions &actions);
    void pullTables(time_point now, membership_actions &actions);

    void merge(time_point now, const member_fact &fact, membership_actions &actions);
    void takeIntoOrder(merge_result result, const member_fact &fact);
    void hearAboutSelf(const member_fact &fact, membership_actions &actions);
    void announceSelf(membership_actions &actions);
    void spread(const instance_id &id);
    void reportChange(const instance_id &id, membership_actions &actions) const;
    void changeState(time_point now, const instance_id &id, member_state state, membership_actions &actions);

    void answerProbe(const peer_datagram &datagram, const std::string &source, membership_actions &actions);
    void takeAck(time_point now, const peer_datagram &datagram, membership_actions &actions);
    void takeNack(const peer_datagram &datagram);
    void startRelay(time_point now,
                    const peer_datagram &datagram,
                    const std::string &source,
                    membership_actions &actions);
    void hearHeader(time_point now,
                    const peer_datagram &datagram,
                    const std::string &source,
                    membership_actions &actions);
    void spreadMissing(const std::vector<member_fact> &facts);
    bool mustTellSender(const peer_datagram &datagram) const;

    /** A datagram with the header filled in and facts piggybacked, @p first ahead of the queue. */
    peer_datagram makeDatagram(datagram_kind kind,
                               std::uint32_t sequence,
                               const instance_id &to,
                               const std::optional<member_fact> &first = std::nullopt);
    void sendUnjudgedProbe(const instance_id &to,
                           const std::string &address,
                           time_point now,
                           membership_actions &actions);
    member_fact selfFact() const;
    std::string anyOtherAddress();

    membership_settings m_settings;
    std::shared_ptr<const member_description> m_selfDescription;
    std::mt19937_64 m_random;
    member_table m_table;
    probe_order m_order;
    dissemination_queue<member_fact> m_queue;
    local_health m_health;
    std::uint32_t m_incarnation = 0;
    member_state m_selfState = member_state::Alive;
    std::uint64_t m_configurationVersion = 0;
    partition_healing m_healing;
    table_pulls m_pulls;
    suspicion_verifier m_verifier;
    probe_relays m_relays;

    std::uint32_t m_sequence = 0;
    std::optional<probe> m_probe;
    std::unordered_map<std::uint32_t, time_point> m_unjudged; ///< Sequences of probes that prove nothing by silence.
    time_point m_lastTick = never;
    time_point m_nextProbe = never;
    time_point m_nextPurge = never;
    time_point m_nextSuspicionCheck = never;
    time_point m_nextAnnouncement = never;
    int m_gossipRounds = 0;
};

}
