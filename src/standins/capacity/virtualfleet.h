#pragma once

#include "controlnode.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

struct virtual_fleet_settings {
    std::size_t size = 5;
    std::size_t dataCentres = 3;
    double loss = 0; ///< Share of datagrams lost; a lost TCP segment is sent again after 200 ms.
    double duplication = 0;
    duration minDelay{1};
    duration maxDelay{4};
    std::uint64_t seed = 1;
};

struct fleet_traffic {
    std::array<std::uint64_t, 5> datagrams{}; ///< Sent, by datagram_kind.
    std::uint64_t datagramBytes = 0; ///< Sent, with 28 bytes of IPv4 and UDP headers each.
    std::uint64_t tablePulls = 0;
    std::uint64_t tableBytes = 0; ///< Payload.
    std::uint64_t configurationPulls = 0;
    std::uint64_t configurationBytes = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t platformBytes = 0;
};

/**
 * Many control nodes in one process with virtual time and a network with loss, delay, duplication and cuts.
 *
 * Every datagram and frame passes through the codec. Each instance has its own clock offset. TCP is an exchange that
 * succeeds when both ends are up and connected; loss only delays it.
 */
class virtual_fleet
{
public:
    explicit virtual_fleet(const virtual_fleet_settings &settings);

    /** Gives every instance the full member table, so that a large fleet need not be joined first. */
    void introduceAll();
    void run(duration span);
    time_point time() const
    {
        return m_time;
    }

    /** The time on the clock of an instance, and the reverse. */
    time_point localTime(std::size_t index) const;
    time_point toFleetTime(std::size_t index, time_point local) const;

    std::size_t size() const
    {
        return m_instances.size();
    }
    control_node &node(std::size_t index)
    {
        return *m_instances[index].node;
    }
    static instance_id idOf(std::size_t index);
    data_centre_id dataCentreOf(std::size_t index) const;

    void stop(std::size_t index);
    /** Starts again with empty memory under the same id. */
    void restart(std::size_t index);
    /** The instance neither ticks nor receives for @p span; datagrams wait up to a second in its socket. */
    void pause(std::size_t index, duration span);
    /** Instances of different sides cannot reach each other. */
    void cut(const std::function<int(std::size_t)> &side);
    void heal();
    void leave(std::size_t index);
    void listInstances(const std::vector<listed_instance> &instances);
    std::vector<listed_instance> listOfAll() const;

    /** Puts a version into the platform; the watchers learn of it after a delay if the platform is up. */
    void publish(std::uint64_t version, const std::string &text);
    void setPlatformUp(bool up);
    void setLoss(double loss);

    /** Instances that are up and at @p version. */
    std::size_t countAt(std::uint64_t version) const;
    std::size_t countUp() const;
    /** Whether each instance that is up sees exactly those that are up as live. */
    bool agrees() const;
    /** Share of the pairs of instances that are up in which one sees the other as live. */
    double visibleShare() const;
    const fleet_traffic &traffic() const
    {
        return m_traffic;
    }
    void resetTraffic()
    {
        m_traffic = {};
    }
    const std::vector<std::uint64_t> &bytesSentBy() const
    {
        return m_bytesSentBy;
    }

    std::function<void(std::size_t, const member_info &)> onChanged;
    std::function<void(std::size_t, std::uint64_t)> onApplied;
    std::function<void(std::size_t, const timed_fact &)> onFact;

private:
    struct instance {
        std::unique_ptr<control_node> node;
        bool up = true;
        int side = 0;
        time_point pausedUntil = never;
        duration clockOffset;
        std::uint64_t generation = 0;
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator>(const event &a, const event &b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    std::unique_ptr<control_node> makeNode(std::size_t index);
    void schedule(duration in, std::function<void()> action);
    void scheduleTick(std::size_t index, duration in);
    void perform(std::size_t index, const control_actions &actions);
    void send(std::size_t from, const std::string &address, const peer_datagram &datagram);
    void deliver(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes);
    void pullTable(std::size_t from, const std::string &address);
    void pullConfiguration(std::size_t from, const pull_configuration &pull);
    void readPlatform(std::size_t index);
    bool canReach(std::size_t from, std::size_t to) const;
    duration delay();
    duration exchangeDelay();
    bool chance(double probability);
    std::optional<std::size_t> indexOf(const std::string &address) const;
    static std::string addressOf(std::size_t index);

    virtual_fleet_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<instance> m_instances;
    std::vector<std::shared_ptr<const member_description>> m_descriptions;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    time_point m_time{1'000'000};
    fleet_traffic m_traffic;
    std::vector<std::uint64_t> m_bytesSentBy;
    std::uint64_t m_platformVersion = 0;
    std::string m_platformText;
    bool m_platformUp = true;
};

}
