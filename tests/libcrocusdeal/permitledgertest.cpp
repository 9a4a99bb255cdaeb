#include "permitledger.h"
#include "lossynetwork.h"
#include "permitholder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id target("t");

struct node {
    instance_id id;
    std::uint64_t incarnation = 1;
    std::unique_ptr<permit_holder> holder;
    std::unique_ptr<permit_ledger> ledger; ///< While it takes itself for the owner.
    int owner = 0; ///< By its view.
    int waiting = 0;
    std::vector<time_point> running; ///< When each statement ends.
    int ended = 0;
    int started = 0;
    bool alive = true;
    time_point pausedUntil = never;
    time_point deadAt = never;
};

/** Instances that run long statements on one target while messages, instances and the owner fail at random. */
class fleet
{
public:
    explicit fleet(std::uint32_t seed)
        : m_random(seed)
        , m_eventsOf(1000 * m_random.between(1, 10))
    {
        m_settings.slots = m_random.between(1, 6);
        m_settings.longestStatement = 2_s;
        m_nodes.resize(m_random.between(2, 6));
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].id = instance_id("i" + std::to_string(i));
            start(m_nodes[i]);
        }
    }

    /** Runs for @p span; returns the highest number of long statements that ran at once. */
    int run(duration span, bool faulty)
    {
        m_faulty = faulty;
        int highest = 0;
        for (const auto end = m_now + span; m_now < end; m_now = m_now + 5_ms) {
            step();
            int sum = static_cast<int>(m_orphans.size());
            for (const auto &each : m_nodes) {
                sum += static_cast<int>(each.running.size());
            }
            highest = std::max(highest, sum);
        }
        return highest;
    }

    int capacity() const
    {
        return std::max(1, m_settings.slots - 1);
    }

    std::vector<node> &nodes()
    {
        return m_nodes;
    }

private:
    void start(node &each)
    {
        each.holder = std::make_unique<permit_holder>(target, each.id, each.incarnation);
        each.owner = m_owner;
        each.holder->setOwner(m_nodes[m_owner].id);
        each.alive = true;
    }

    void step()
    {
        injectFaults();
        std::erase_if(m_orphans, [&](time_point end) { return end <= m_now; });
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto &each = m_nodes[i];
            std::erase_if(each.running, [&](time_point end) {
                each.ended += end <= m_now ? 1 : 0;
                return end <= m_now;
            });
            if (each.alive && each.pausedUntil <= m_now) {
                updateOwner(i);
                work(each);
                if (each.ledger) {
                    each.ledger->tick(m_now);
                }
            }
        }
        deliver();
    }

    void injectFaults()
    {
        auto &each = m_nodes[m_random.between(0, static_cast<int>(m_nodes.size()) - 1)];
        const int event = m_random.between(1, m_eventsOf);
        if (event <= 3 && each.alive && m_faulty) {
            each.alive = false;
            each.deadAt = m_now;
            each.ledger.reset();
            m_orphans.insert(m_orphans.end(), each.running.begin(), each.running.end());
            each.running.clear();
            each.waiting = 0;
            each.ended = 0;
        } else if ((event <= 20 || !m_faulty) && !each.alive && each.deadAt + 500_ms < m_now) {
            ++each.incarnation;
            start(each);
        } else if (event <= 25 && m_faulty) {
            each.pausedUntil = m_now + duration{m_random.between(10, 6000)};
        } else if ((event <= 30 && m_faulty) || !m_nodes[m_owner].alive) {
            m_owner = each.alive ? static_cast<int>(&each - m_nodes.data()) : m_owner;
        }
        if (each.alive && m_random.chance(5)) {
            each.waiting = std::min(each.waiting + 1, 3);
        }
    }

    void updateOwner(std::size_t i)
    {
        auto &each = m_nodes[i];
        if (each.owner != m_owner && m_random.chance(3)) {
            each.owner = m_owner;
            each.holder->setOwner(m_nodes[m_owner].id);
        }
        if (each.owner != static_cast<int>(i)) {
            each.ledger.reset();
        } else if (!each.ledger || each.ledger->isStale()) {
            std::vector<instance_id> members;
            for (const auto &other : m_nodes) {
                members.push_back(other.id); // The failed ones too, until their connections are known to be closed.
            }
            each.ledger = std::make_unique<permit_ledger>(target, each.id, ++m_ledgers, members, m_settings, m_now);
        }
    }

    void work(node &each)
    {
        for (; each.ended > 0; --each.ended) { // Learnt after a pause at the latest.
            each.holder->onStatementFinished();
        }
        while (each.waiting > 0 && static_cast<int>(each.running.size()) < each.holder->places(m_now)) {
            --each.waiting;
            ++each.started;
            each.running.push_back(m_now + duration{m_random.between(200, 2000)});
        }
        each.holder->setWanted(each.waiting + static_cast<int>(each.running.size()));
        if (const auto request = each.holder->poll(m_now)) {
            m_requests.send({each.owner, *request}, m_now, m_random, m_faulty);
        }
    }

    void deliver()
    {
        m_requests.deliver(m_now, [&](const auto &message) {
            auto &owner = m_nodes[message.first];
            if (owner.alive && owner.pausedUntil > m_now) {
                return false;
            }
            if (owner.ledger) {
                if (const auto grant = owner.ledger->onRequest(message.second, m_now)) {
                    m_grants.send(*grant, m_now, m_random, m_faulty);
                }
            }
            return true;
        });
        m_grants.deliver(m_now, [&](const permit_grant &grant) {
            const auto holder =
                std::find_if(m_nodes.begin(), m_nodes.end(), [&](const node &n) { return n.id == grant.holder; });
            if (holder->alive && holder->pausedUntil > m_now) {
                return false;
            }
            if (holder->alive) {
                holder->holder->onGrant(grant);
            }
            return true;
        });
    }

    dice m_random;
    int m_eventsOf;
    bool m_faulty = true;
    permit_ledger_settings m_settings;
    std::vector<node> m_nodes;
    int m_owner = 0;
    std::uint64_t m_ledgers = 0;
    time_point m_now{0};
    std::vector<time_point> m_orphans;
    lossy_network<std::pair<int, permit_request>> m_requests;
    lossy_network<permit_grant> m_grants;
};

permit_ledger_settings settingsOf(int slots)
{
    permit_ledger_settings settings;
    settings.slots = slots;
    settings.longestStatement = 2_s;
    settings.settling = 0_ms;
    return settings;
}

void tickUntil(permit_ledger &ledger, time_point end)
{
    for (time_point now{0}; now <= end; now = now + 250_ms) {
        ledger.tick(now);
    }
}

permit_request requestOf(const char *holder, std::uint64_t sequence, int wanted, std::vector<permit_id> held = {})
{
    permit_request request;
    request.target = target;
    request.holder = instance_id(holder);
    request.incarnation = 1;
    request.sequence = sequence;
    request.ledger = 1;
    request.held = std::move(held);
    request.seen = request.held.empty() ? 0 : request.held.back().number;
    request.wanted = wanted;
    return request;
}

}

class permit_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(permit_ledger_test);
    CPPUNIT_TEST(neverExceedsTheCapacity);
    CPPUNIT_TEST(servesAllHolders);
    CPPUNIT_TEST(keepsASlotForShortWork);
    CPPUNIT_TEST(keepsThePermitsOfSilentHolders);
    CPPUNIT_TEST(countsPermitsOfReturningHolders);
    CPPUNIT_TEST(grantsNothingAfterAPause);
    CPPUNIT_TEST(countsLongStatementsWithoutAPermit);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against long work in all slots, under message loss, delay, duplication, reordering, pauses, restarts,
     * deaths and changes of the owner. */
    void neverExceedsTheCapacity()
    {
        int reached = 0;
        CPPUNIT_ASSERT(rc::check("long statements stay within the permits", [&reached](std::uint32_t seed) {
            fleet sim(seed);
            const int highest = sim.run(30_s, true);
            reached += highest == sim.capacity() ? 1 : 0;
            RC_ASSERT(highest <= sim.capacity());
        }));
        CPPUNIT_ASSERT(reached > 50); // Or the runs would show nothing.
    }

    /** Guards against permits that are lost after failures, and against one holder that keeps a permit for ever. */
    void servesAllHolders()
    {
        CPPUNIT_ASSERT(rc::check("after failures all holders get permits", [](std::uint32_t seed) {
            fleet sim(seed);
            sim.run(10_s, true);
            sim.run(10_s, false);
            std::vector<int> before;
            for (const auto &each : sim.nodes()) {
                before.push_back(each.started);
            }
            RC_ASSERT(sim.run(40_s, false) == sim.capacity());
            for (std::size_t i = 0; i < before.size(); ++i) {
                RC_ASSERT(sim.nodes()[i].started > before[i]);
            }
        }));
    }

    /** Guards against long work that leaves no slot, or none at all on a target with one slot. */
    void keepsASlotForShortWork()
    {
        permit_ledger ledger(target, instance_id("o"), 1, {}, settingsOf(3), {0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), ledger.onRequest(requestOf("a", 1, 5), {0})->granted.size());
        CPPUNIT_ASSERT(ledger.onRequest(requestOf("b", 1, 5), {0})->granted.empty());
        CPPUNIT_ASSERT(!ledger.onRequest(requestOf("a", 1, 5), {0})); // A copy.
        ledger.onRelease({target, instance_id("a"), 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), ledger.onRequest(requestOf("b", 2, 5), {0})->granted.size());
        ledger.setSlots(1);
        CPPUNIT_ASSERT_EQUAL(1, ledger.capacity());
    }

    /** Guards against granting the permit of a holder whose statement may still run. */
    void keepsThePermitsOfSilentHolders()
    {
        permit_ledger ledger(target, instance_id("o"), 1, {}, settingsOf(2), {0});
        ledger.onRequest(requestOf("a", 1, 1), {0});
        tickUntil(ledger, {3999});
        CPPUNIT_ASSERT(ledger.onRequest(requestOf("b", 1, 1), {3999})->granted.empty());
        CPPUNIT_ASSERT(!ledger.onRequest(requestOf("b", 2, 1), {4000})->granted.empty());
        ledger.onConnectionsClosed(instance_id("b"), 1);
        CPPUNIT_ASSERT(!ledger.onRequest(requestOf("c", 1, 1), {4001})->granted.empty());
    }

    /** Guards against forgetting a permit that is in use because its holder was silent for long. */
    void countsPermitsOfReturningHolders()
    {
        permit_ledger ledger(target, instance_id("o"), 1, {}, settingsOf(2), {0});
        ledger.onRequest(requestOf("a", 1, 1), {0});
        tickUntil(ledger, {5000});
        CPPUNIT_ASSERT_EQUAL(0, ledger.granted());
        ledger.onRequest(requestOf("a", 2, 1, {{1, 1}}), {5000});
        CPPUNIT_ASSERT_EQUAL(1, ledger.granted());
        CPPUNIT_ASSERT(ledger.onRequest(requestOf("b", 1, 1), {5000})->granted.empty());
    }

    /** Guards against an owner that grants from what it knew before a pause in which another one took over. */
    void grantsNothingAfterAPause()
    {
        permit_ledger ledger(target, instance_id("o"), 1, {}, settingsOf(2), {0});
        CPPUNIT_ASSERT(!ledger.onRequest(requestOf("a", 1, 1), {1001}));
        CPPUNIT_ASSERT(ledger.isStale());
    }

    /** Guards against a permit beside a statement that turned out to be long while it runs without one. */
    void countsLongStatementsWithoutAPermit()
    {
        permit_ledger ledger(target, instance_id("o"), 1, {}, settingsOf(2), {0});
        permit_holder holder(target, instance_id("a"), 1);
        holder.setOwner(instance_id("o"));
        holder.onGrant(*ledger.onRequest(*holder.poll({0}), {0}));
        holder.onGrant(*ledger.onRequest(*holder.poll({1}), {1}));
        CPPUNIT_ASSERT(!holder.poll({100}));
        holder.setRunning(1);
        const auto request = holder.poll({100});
        CPPUNIT_ASSERT(request && request->held.empty());
        holder.onGrant(*ledger.onRequest(*request, {100}));
        CPPUNIT_ASSERT(ledger.onRequest(requestOf("b", 1, 1), {101})->granted.empty());
        CPPUNIT_ASSERT_EQUAL(0, ledger.granted());
        holder.setRunning(0);
        holder.onGrant(*ledger.onRequest(*holder.poll({200}), {200}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger.onRequest(requestOf("b", 2, 1), {201})->granted.size());
        // A statement under a permit takes one place, not two.
        auto running = requestOf("b", 3, 1, {{1, 1}});
        running.running = 1;
        ledger.onRequest(running, {300});
        ledger.setSlots(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger.onRequest(requestOf("c", 1, 1), {301})->granted.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_ledger_test);
