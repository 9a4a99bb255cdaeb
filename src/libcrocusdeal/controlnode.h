#pragma once

#include "clock.h"
#include "configurationspread.h"
#include "factstore.h"
#include "membership.h"
#include "targetownership.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

struct control_actions {
    std::vector<send_datagram> datagrams;
    std::vector<pull_table> tablePulls;
    std::optional<pull_configuration> configurationPull;
    std::vector<member_info> changed;
    std::vector<timed_fact> facts; ///< News of databases from peers.
    bool configurationApplied = false; ///< configuration().text() is to be applied.
    bool readPlatform = false;
};

/**
 * The control decisions of one instance: membership, facts about databases and the spread of the configuration, which
 * share the datagrams.
 */
class control_node
{
public:
    control_node(const membership_settings &settings, std::uint64_t randomSeed);

    /** To be called about every 100 ms. */
    control_actions tick(time_point now);
    control_actions receive(time_point now, const peer_datagram &datagram, const std::string &source);
    control_actions tableReceived(time_point now, const std::vector<member_fact> &facts);
    control_actions setPlatformInstances(const std::vector<listed_instance> &instances);
    control_actions leave();
    control_actions offerConfiguration(time_point now, std::uint64_t version, std::string text);
    control_actions configurationPulled(time_point now,
                                        const instance_id &peer,
                                        const std::optional<configuration_reply> &reply);

    /** The configured groups, and those of them whose routine facts are wanted besides the own candidacies. */
    void setGroups(const std::vector<group_targets> &groups, const std::vector<group_id> &wanted);
    /** Takes own observations of databases. */
    void observe(time_point now, const std::vector<database_fact> &facts);
    /** Asks the probers of @p group at once, for example when its primary is suspected. */
    control_actions queryGroup(time_point now, const group_id &group);

    const membership &members() const;
    const target_ownership &ownership() const;
    const fact_store &facts() const;
    const configuration_spread &configuration() const;

private:
    control_actions take(membership_actions from);
    void take(configuration_actions from, control_actions &actions);
    static void append(control_actions from, control_actions &to);
    void query(time_point now, const instance_id &prober, control_actions &actions);
    void decorate(std::vector<send_datagram> &datagrams);
    void refreshWanted();
    std::vector<std::uint32_t> wantedFrom(const instance_id &peer);
    void queryOldest(time_point now, control_actions &actions);

    struct wanted_target {
        group_id group;
        target_id target;
        time_point askedAt = never;
    };

    membership m_membership;
    target_ownership m_ownership;
    fact_store m_facts;
    configuration_spread m_configuration;
    std::vector<group_id> m_wanted;
    std::vector<group_id> m_interest; ///< The wanted groups and those of which this instance is a candidate.
    std::vector<wanted_target> m_targets; ///< Targets of m_interest.
    std::size_t m_nextInterest = 0;
    bool m_interestChanged = false;
    time_point m_nextQuery = never;
};

}
