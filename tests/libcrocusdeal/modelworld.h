#pragma once

#include "databasegroup.h"
#include "followerrepair.h"
#include "promotion.h"
#include "readindex.h"
#include "router.h"
#include "writeconfirmation.h"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace crocusdeal::model
{

/** What a history may get wrong. */
enum class violation {
    LostWrite, ///< An acknowledged write is absent from a later primary's log.
    TwoPrimaries, ///< Two databases were primary at one term.
    MissedOwnWrite, ///< A read lacks an acknowledged write of its caller.
    TooOld, ///< A stale read lacks a write that was acknowledged before its stated age.
    NoRecovery, ///< No write is acknowledged after all faults ended.
};

inline constexpr auto violationNames =
    makeNameTable<violation>("lost-write", "two-primaries", "missed-own-write", "too-old", "no-recovery");

struct settings {
    group_policy policy;
    router_settings router;
    confirm_mode confirm = confirm_mode::Replica;
};

/** Times about a tenth of the real ones, so that a short history holds several promotions. */
settings fastSettings();

/** What happened in one history. */
struct outcome {
    std::array<int, 5> violations{};
    int acknowledged = 0;
    int unknown = 0;
    int reads = 0;
    int staleReads = 0;
    int promotions = 0;

    int count(violation kind) const
    {
        return violations[static_cast<std::size_t>(kind)];
    }
    int total() const;
    void add(const outcome &other);
};

struct entry {
    std::uint64_t term = 0;
    int value = 0;
};

/** A database as section 4.2 of the design describes it. */
struct database {
    std::uint64_t term = 1;
    target_role role = target_role::Replica;
    std::vector<entry> log;
    std::string following;
    std::uint64_t followEpoch = 0; ///< Copies that were under way at a change of upstream are dropped.
    bool up = true;

    target_status status() const;
    bool fence(std::uint64_t newTerm);
    bool follow(std::uint64_t newTerm, const std::string &upstream);
    bool promote(std::uint64_t atTerm);
};

/** The answer of a database to one message. */
struct reply {
    bool granted = false;
    target_status status;
    std::vector<entry> log; ///< Of reads.
    int index = 0;
};

class instance;
class client;

/** Databases, instances, callers and the network between them, on a simulated clock; one seed gives one history. */
class world
{
public:
    using reply_callback = std::function<void(const reply *)>;

    world(std::uint64_t seed, settings options);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    /** Faults for 1.5 s, then 1 s without, in which the group must recover. */
    outcome run();

    void after(std::int64_t ms, std::function<void()> action);
    std::int64_t now() const;
    std::int64_t random(std::int64_t low, std::int64_t high);
    bool chance(int percent);

    /** Sends a message to a database; @p done gets no reply if it is not back within @p timeout. */
    void call(const instance &from,
              std::size_t target,
              const std::function<void(database &, reply &)> &action,
              std::int64_t timeout,
              const reply_callback &done);

    /** Sends @p to what @p from heard itself, as the probes between instances do. */
    void gossip(instance &from, instance &to);

    std::size_t databaseCount() const;
    instance &randomInstance();
    const settings &options() const;

    int nextValue();
    /** Records the acknowledgement of @p value, written at term @p term; returns the time of it. */
    void acknowledged(int value, std::uint64_t term);
    void checkPrimary(std::size_t index);
    void checkAge(const std::vector<entry> &log, std::int64_t decidedAt, std::int64_t maxAge);
    void report(violation kind);
    outcome &result();

private:
    struct event {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct acknowledgement {
        int value;
        std::uint64_t term;
        std::int64_t at;
    };

    bool connected(std::size_t a, std::size_t b) const;
    std::int64_t delay();
    bool isLost();
    void runUntil(std::int64_t end);
    void copyLogs(std::size_t index);
    void disturb();
    void heal();

    std::mt19937_64 m_random;
    settings m_settings;
    std::int64_t m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<database> m_databases;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::unique_ptr<client>> m_clients;
    std::vector<int> m_sides; ///< Of databases, then instances; different sides are cut off from each other.
    std::vector<acknowledgement> m_acknowledged;
    std::map<std::uint64_t, std::pair<std::size_t, std::vector<entry>>> m_primaries;
    int m_value = 0;
    bool m_faulty = true;
    outcome m_result;
};

/** An instance: the aggregates wired as in group_monitor, with a clock of its own and pauses. */
class instance
{
public:
    instance(world &owner, std::size_t node, int rank);

    void tick();
    void pause(std::int64_t ms);
    std::int64_t pausedUntil() const;
    std::size_t node() const;
    time_point clock() const;
    void startPromotion(std::optional<target_id> planned, std::set<target_id> leaving);

    void observe(std::size_t target, const reply &answer, time_point askedAt);
    void observeInBand(std::size_t target, const reply &answer, time_point askedAt);
    std::map<target_id, std::pair<target_state, duration>> facts() const;
    void observePeer(const target_id &target, const target_state &state, time_point notBefore);
    group_view_ptr view() const;
    void confirm(position at, std::function<void(bool)> done);
    void readIndex(time_point startedAt, std::function<void(std::optional<position>)> done);

private:
    void step();
    void ask(const target_id &target, time_point notBefore);
    void order(const order_target &wanted);
    void run(const promotion_actions &actions);

    world &m_world;
    std::size_t m_node;
    int m_rank;
    std::int64_t m_offset;
    std::int64_t m_pausedUntil = 0;
    database_group m_group;
    read_index m_readIndex;
    write_confirmation m_confirmation;
    follower_repair m_repair;
    std::optional<promotion> m_promotion;
    time_point m_retryAt = never;
    std::map<target_id, time_point> m_nextProbe;
    std::map<target_id, time_point> m_asked;
    std::map<target_id, std::pair<target_state, time_point>> m_facts;
    waiter_id m_nextWaiter = 1;
    std::map<waiter_id, std::function<void(bool)>> m_writes;
    std::map<waiter_id, std::function<void(std::optional<position>)>> m_indexes;
    bool m_inStep = false;
};

target_id targetName(std::size_t index);
std::size_t targetIndex(const target_id &id);

/** A caller that moves between instances, sometimes with its token and sometimes without. */
class client
{
public:
    explicit client(world &owner);
    void next();

private:
    struct operation;

    void route(const std::shared_ptr<operation> &current);
    void write(const std::shared_ptr<operation> &current, std::size_t target);
    void read(const std::shared_ptr<operation> &current, std::size_t target);
    void finish();

    world &m_world;
    std::optional<position> m_token;
    std::vector<int> m_written;
};

}
