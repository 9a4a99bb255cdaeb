#include "connectionbudget.h"
#include "connectionshare.h"
#include "lossynetwork.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id target("t");

/** One instance with both sides of the protocol. */
struct node {
    instance_id id;
    std::uint64_t incarnation = 1;
    std::unique_ptr<connection_share> share;
    std::unique_ptr<connection_budget> budget; ///< While it takes itself for the owner.
    int owner = 0; ///< By its view.
    std::vector<time_point> opening; ///< When each attempt is established.
    int established = 0;
    int wanted = 0;
    bool alive = true;
    time_point pausedUntil = never;
    time_point deadAt = never;
};

/** A fleet in front of one target whose messages, instances and owner fail at random. */
class fleet
{
public:
    fleet(std::uint32_t seed, bool partitioned)
        : m_random(seed)
        , m_partitioned(partitioned)
    {
        m_eventsOf = 1000 * m_random.between(1, 20);
        m_longestPause = m_random.between(1, 3) * m_random.between(100, 4000);
        m_wantPercent = m_random.between(5, 60);
        m_settings.limit = m_random.between(5, 45);
        m_settings.expectedInstances = m_random.between(2, 6);
        m_nodes.resize(m_settings.expectedInstances);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].id = instance_id("i" + std::to_string(i));
            start(m_nodes[i]);
        }
    }

    /** Runs for @p span; returns the highest number of connections that were open. */
    int run(duration span, bool faulty)
    {
        m_faulty = faulty;
        for (auto &each : m_nodes) {
            if (!faulty && !each.alive) {
                ++each.incarnation;
                start(each);
            }
        }
        int highest = 0;
        for (const auto end = m_now + span; m_now < end; m_now = m_now + 10_ms) {
            step();
            highest = std::max(highest, open());
        }
        return highest;
    }

    int limit() const
    {
        return m_settings.limit;
    }

    int open() const
    {
        int sum = std::accumulate(
            m_lingering.begin(), m_lingering.end(), 0, [](int s, const auto &l) { return s + l.second; });
        for (const auto &each : m_nodes) {
            // An instance that resumes gives up its attempts if its right to open them has ended.
            sum += each.alive && each.pausedUntil <= m_now ? each.share->open() : each.established;
        }
        return sum;
    }

    std::vector<node> &nodes()
    {
        return m_nodes;
    }

    void wantEverywhere(int wanted)
    {
        m_fixedWant = wanted;
        for (auto &each : m_nodes) {
            each.wanted = wanted;
        }
    }

private:
    int ownerFor(const node &each) const
    {
        // In a partition the odd instances follow another owner.
        const auto index = &each - m_nodes.data();
        return m_partitioned && index % 2 == 1 ? 1 : m_owner;
    }

    void start(node &each)
    {
        each.share = std::make_unique<connection_share>(target, each.id, each.incarnation);
        each.owner = ownerFor(each);
        each.share->setOwner(m_nodes[each.owner].id);
        each.alive = true;
    }

    void step()
    {
        if (m_faulty) {
            injectFaults();
        }
        updateOwners();
        std::erase_if(m_lingering, [&](const auto &l) { return l.first <= m_now; });
        for (auto &each : m_nodes) {
            if (each.alive && each.pausedUntil <= m_now) {
                useConnections(each);
            }
        }
        deliver();
        if (m_now.ms % 250 == 0) {
            askTarget();
        }
    }

    void injectFaults()
    {
        auto &each = m_nodes[m_random.between(0, static_cast<int>(m_nodes.size()) - 1)];
        const int event = m_random.between(1, m_eventsOf);
        if (event <= 3 && each.alive) {
            kill(each);
        } else if (event <= 15 && !each.alive && each.deadAt + 500_ms < m_now) {
            ++each.incarnation;
            start(each);
        } else if (event <= 20) {
            each.pausedUntil = m_now + duration{m_random.between(100, m_longestPause)};
        } else if ((event <= 24 || !m_nodes[m_owner].alive) && !m_partitioned && each.alive) {
            m_owner = static_cast<int>(&each - m_nodes.data());
        }
        if (m_random.chance(m_wantPercent)) {
            each.wanted = m_fixedWant > 0 ? m_fixedWant : m_random.between(0, m_settings.limit);
        }
    }

    void kill(node &each)
    {
        each.alive = false;
        each.deadAt = m_now;
        each.budget.reset();
        // Its connections stay open at the target until the target notices.
        if (each.established > 0) {
            m_lingering.emplace_back(m_now + duration{m_random.between(0, 6000)}, each.established);
        }
        each.established = 0;
        each.opening.clear();
    }

    void updateOwners()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto &each = m_nodes[i];
            if (!each.alive || each.pausedUntil > m_now) {
                continue;
            }
            if (each.owner != ownerFor(each)
                && (!m_faulty || m_random.chance(3))) { // Views change one after the other.
                each.owner = ownerFor(each);
                each.share->setOwner(m_nodes[each.owner].id);
            }
            if (each.owner != static_cast<int>(i)) {
                each.budget.reset();
            } else if (!each.budget || each.budget->isStale()) {
                each.budget =
                    std::make_unique<connection_budget>(target, each.id, ++m_ledgers, members(i), m_settings, m_now);
            } else {
                tellGone(*each.budget);
            }
        }
    }

    std::vector<instance_id> members(std::size_t owner) const
    {
        std::vector<instance_id> live;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].alive && (!m_partitioned || i % 2 == owner % 2)) {
                live.push_back(m_nodes[i].id);
            }
        }
        return live;
    }

    /** The list of instances shows a failure after a second. */
    void tellGone(connection_budget &budget)
    {
        for (const auto &each : m_nodes) {
            if (!each.alive && m_now - each.deadAt >= 1_s) {
                budget.onGone(each.id, each.incarnation, m_now);
            }
        }
    }

    void useConnections(node &each)
    {
        auto &share = *each.share;
        for (int count = share.attemptsToAbandon(m_now); count > 0; --count) {
            share.onOpenFailed(false, m_now);
            each.opening.pop_back();
        }
        std::erase_if(each.opening, [&](time_point at) {
            if (at > m_now) {
                return false;
            }
            const bool fails = m_faulty && m_random.chance(5);
            fails ? share.onOpenFailed(false, m_now) : share.onEstablished(m_now);
            each.established += fails ? 0 : 1;
            return true;
        });
        while (each.established > 0 && (share.excess() > 0 || (m_faulty && m_random.chance(1)))) {
            share.onClosed(m_now);
            --each.established;
        }
        while (share.open() < each.wanted && share.mayOpen(m_now)) {
            share.onOpening();
            each.opening.push_back(m_now + duration{m_random.between(10, 50)});
        }
        share.setWanted(each.wanted);
        if (const auto report = share.poll(m_now)) {
            m_reports.send({each.owner, *report}, m_now, m_random, m_faulty);
        }
        if (each.budget) {
            for (const auto &grant : each.budget->poll(m_now)) {
                m_grants.send(grant, m_now, m_random, m_faulty);
            }
        }
    }

    void deliver()
    {
        m_reports.deliver(m_now, [&](const auto &message) {
            auto &owner = m_nodes[message.first];
            if (owner.alive && owner.pausedUntil > m_now) {
                return false;
            }
            if (owner.alive && owner.budget) {
                if (const auto grant = owner.budget->onReport(message.second, m_now)) {
                    m_grants.send(*grant, m_now, m_random, m_faulty);
                }
            }
            return true;
        });
        m_grants.deliver(m_now, [&](const share_grant &grant) {
            const auto holder =
                std::find_if(m_nodes.begin(), m_nodes.end(), [&](const node &n) { return n.id == grant.holder; });
            if (holder->alive && holder->pausedUntil > m_now) {
                return false;
            }
            if (holder->alive) {
                holder->share->onGrant(grant);
            }
            return true;
        });
    }

    void askTarget()
    {
        int count = std::accumulate(
            m_lingering.begin(), m_lingering.end(), 0, [](int s, const auto &l) { return s + l.second; });
        for (const auto &each : m_nodes) {
            count += each.established;
        }
        for (auto &each : m_nodes) {
            if (each.alive && each.budget && each.pausedUntil <= m_now) {
                each.budget->onTargetStatus(count, m_now, m_now);
            }
        }
    }

    dice m_random;
    bool m_partitioned;
    bool m_faulty = true;
    connection_budget_settings m_settings;
    std::vector<node> m_nodes;
    int m_owner = 0;
    int m_fixedWant = 0;
    int m_longestPause = 0;
    int m_wantPercent = 5;
    int m_eventsOf = 1000; ///< Faults are rarer the higher it is.
    std::uint64_t m_ledgers = 0;
    time_point m_now{0};
    std::vector<std::pair<time_point, int>> m_lingering;
    lossy_network<std::pair<int, share_report>> m_reports;
    lossy_network<share_grant> m_grants;
};

}

class connection_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_budget_test);
    CPPUNIT_TEST(neverExceedsTheLimit);
    CPPUNIT_TEST(lendsTheWholeLimitOnDemand);
    CPPUNIT_TEST(staysWithinTwiceTheLimitWithTwoOwners);
    CPPUNIT_TEST(keepsTheBaseWithoutTheOwner);
    CPPUNIT_TEST(passesOnAChangedConfiguration);
    CPPUNIT_TEST(backsOffWhenTheTargetRefuses);
    CPPUNIT_TEST(ignoresLateGrants);
    CPPUNIT_TEST(takesBackTheLoanOfASilentHolder);
    CPPUNIT_TEST(grantsAfterAMemberDiedWithoutAReport);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against more connections than the target accepts, under message loss, delay, duplication, reordering,
     * pauses, restarts, deaths and changes of the owner. */
    void neverExceedsTheLimit()
    {
        int reached = 0;
        CPPUNIT_ASSERT(rc::check("open connections stay within the limit", [&reached](std::uint32_t seed) {
            fleet sim(seed, false);
            const int highest = sim.run(90_s, true);
            reached += highest == sim.limit() ? 1 : 0;
            RC_ASSERT(highest <= sim.limit());
        }));

        CPPUNIT_ASSERT(reached > 50); // Or the runs would show nothing.
    }

    /** Guards against connections that stay reserved for nobody after failures. */
    void lendsTheWholeLimitOnDemand()
    {
        CPPUNIT_ASSERT(rc::check("after failures the whole limit is used", [](std::uint32_t seed) {
            fleet sim(seed, false);
            sim.run(20_s, true);
            sim.wantEverywhere(sim.limit());
            sim.run(40_s, false);
            RC_ASSERT(sim.open() == sim.limit());
            for (const auto &each : sim.nodes()) {
                RC_ASSERT(!each.alive || each.share->open() >= each.share->base());
            }
        }));
    }

    /** Guards against a partition that opens more than the owners' limits together. The target itself refuses what is
     * above its own limit. */
    void staysWithinTwiceTheLimitWithTwoOwners()
    {
        CPPUNIT_ASSERT(rc::check("two owners stay within twice the limit", [](std::uint32_t seed) {
            fleet sim(seed, true);
            RC_ASSERT(sim.run(30_s, true) <= 2 * sim.limit());
        }));
    }

    /** Guards against an instance that cannot work because the owner does not answer. */
    void keepsTheBaseWithoutTheOwner()
    {
        const instance_id self("i0");
        connection_share share(target, self, 1);
        connection_budget budget(target, self, 1, {}, {10, 2, 0_ms}, {0});
        share.setOwner(self);
        share.setWanted(10);
        CPPUNIT_ASSERT(!share.mayOpen({0}));
        for (std::int64_t ms = 0; ms <= 1000; ms += 100) {
            budget.onTargetStatus(0, {ms}, {ms});
            if (const auto report = share.poll({ms})) {
                share.onGrant(budget.onReport(*report, {ms}).value());
            }
        }
        CPPUNIT_ASSERT_EQUAL(10, share.allowance());
        CPPUNIT_ASSERT_EQUAL(3, share.base());
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(share.mayOpen({1000}));
            share.onOpening();
            share.onEstablished({1000});
        }
        CPPUNIT_ASSERT(!share.mayOpen({7000}) && share.excess() == 0); // Keeps what is open.
        for (int i = 0; i < 3; ++i) {
            share.onClosed({7000});
        }
        CPPUNIT_ASSERT(share.mayOpen({7000}));
    }

    /** Guards against a base share or a limit that only instances started later learn. */
    void passesOnAChangedConfiguration()
    {
        const instance_id self("i0");
        connection_share share(target, self, 1);
        connection_budget budget(target, self, 1, {}, {10, 2, 0_ms}, {0});
        share.setOwner(self);
        share.setWanted(10);
        const auto run = [&](std::int64_t from, std::int64_t to) {
            for (std::int64_t ms = from; ms <= to; ms += 100) {
                budget.onTargetStatus(0, {ms}, {ms});
                if (const auto report = share.poll({ms})) {
                    share.onGrant(budget.onReport(*report, {ms}).value());
                }
                for (const auto &grant : budget.poll({ms})) {
                    share.onGrant(grant);
                }
            }
        };
        run(0, 1000);
        CPPUNIT_ASSERT_EQUAL(3, share.base());
        budget.setSettings({10, 6, 0_ms});
        run(1100, 1500);
        CPPUNIT_ASSERT_EQUAL(1, share.base());
        CPPUNIT_ASSERT_EQUAL(10, share.allowance());
        budget.setSettings({4, 6, 0_ms});
        run(1600, 2000);
        CPPUNIT_ASSERT_EQUAL(4, share.allowance());
    }

    /** Guards against instances that keep asking a target that is full, as it may be during a partition. */
    void backsOffWhenTheTargetRefuses()
    {
        const instance_id self("i0");
        connection_share share(target, self, 1);
        share.setOwner(self);
        const auto grantOf = [&](std::uint64_t answers) {
            return share_grant{target, self, 1, self, 1, answers, answers, 5, 5, 0};
        };
        share.onGrant(grantOf(share.poll({0})->sequence)); // Makes the ledger known.
        share.onGrant(grantOf(share.poll({0})->sequence));
        CPPUNIT_ASSERT(share.mayOpen({10}));
        share.onOpening();
        share.onOpenFailed(true, {10});
        CPPUNIT_ASSERT(!share.mayOpen({109}) && share.mayOpen({110}));
        share.onOpening();
        share.onOpenFailed(true, {110});
        CPPUNIT_ASSERT(!share.mayOpen({309}) && share.mayOpen({310}));
    }

    /** Guards against a delayed grant that raises the allowance behind the back of the present ledger. */
    void ignoresLateGrants()
    {
        const instance_id self("i0");
        connection_share share(target, self, 1);
        const auto answer = [&](const char *owner, std::uint64_t ledger, std::uint64_t answers, std::uint64_t number) {
            const int allowance = static_cast<int>(number);
            share.onGrant({target, instance_id(owner), ledger, self, 1, answers, number, 1, allowance, 0});
        };
        share.setOwner(instance_id("a"));
        answer("a", 5, share.poll({0})->sequence, 0); // Makes ledger 5 known.
        const auto late = share.poll({0})->sequence;
        share.setOwner(instance_id("b"));
        answer("a", 5, late, 9);
        share.setOwner(instance_id("a"));
        const auto last = share.poll({1000})->sequence;
        answer("a", 5, late, 9);
        answer("a", 5, late, 9); // The first one must not make the old ledger known again.
        CPPUNIT_ASSERT_EQUAL(0, share.allowance());
        answer("a", 6, last, 0); // The instance has become the owner anew.
        answer("a", 5, late, 9);
        answer("a", 6, share.poll({1000})->sequence, 4);
        answer("a", 6, last, 3);
        CPPUNIT_ASSERT_EQUAL(4, share.allowance());
    }

    /** Guards against a new owner that waits for ever for a dead member, and against lending what that one may use. */
    void grantsAfterAMemberDiedWithoutAReport()
    {
        connection_budget budget(target, instance_id("o"), 1, {instance_id("a"), instance_id("b")}, {10, 2, 0_ms}, {0});
        connection_share a(target, instance_id("a"), 1);
        a.setOwner(instance_id("o"));
        a.setWanted(10);
        const auto run = [&](std::int64_t from, std::int64_t to) {
            for (std::int64_t ms = from; ms <= to; ms += 100) {
                budget.onTargetStatus(0, {ms}, {ms});
                budget.poll({ms});
                if (const auto report = a.poll({ms})) {
                    if (const auto grant = budget.onReport(*report, {ms})) {
                        a.onGrant(*grant);
                    }
                }
            }
        };
        run(0, 3000);
        CPPUNIT_ASSERT_EQUAL(0, a.allowance());
        budget.onUnreachable(instance_id("b"));
        run(3100, 9000);
        CPPUNIT_ASSERT_EQUAL(7, a.allowance());
        CPPUNIT_ASSERT(budget.accounted() <= 10);
    }

    /** Guards against lending a loan twice: to the others while its holder is paused, and again to the holder when it
     * resumes with attempts that the target has not counted. */
    void takesBackTheLoanOfASilentHolder()
    {
        connection_budget budget(target, instance_id("o"), 1, {}, {10, 2, 0_ms}, {0});
        connection_share a(target, instance_id("a"), 1);
        connection_share b(target, instance_id("b"), 1);
        const auto exchange = [&](connection_share &share, time_point now) {
            if (const auto report = share.poll(now)) {
                if (const auto grant = budget.onReport(*report, now)) {
                    share.onGrant(*grant);
                }
            }
        };
        const auto run = [&](std::int64_t from, std::int64_t to, bool withA) {
            for (std::int64_t ms = from; ms <= to; ms += 100) {
                budget.onTargetStatus(0, {ms}, {ms});
                budget.poll({ms});
                exchange(b, {ms});
                if (withA) {
                    exchange(a, {ms});
                }
                // What a may still go on with, and what b may open.
                const int ofA = withA ? std::max(a.open() - a.attemptsToAbandon({ms}), a.allowance()) : 3;
                CPPUNIT_ASSERT(!withA || a.open() == 0 || ofA + b.allowance() <= 10);
            }
        };
        a.setOwner(instance_id("o"));
        b.setOwner(instance_id("o"));
        a.setWanted(7);
        run(0, 1000, true);
        CPPUNIT_ASSERT_EQUAL(7, a.allowance());
        for (int i = 0; i < 7; ++i) {
            a.onOpening();
        }
        CPPUNIT_ASSERT_EQUAL(0, a.attemptsToAbandon({1000}));
        b.setWanted(10);
        run(1100, 9000, false);
        CPPUNIT_ASSERT_EQUAL(7, b.allowance());
        CPPUNIT_ASSERT_EQUAL(4, a.attemptsToAbandon({9000}));
        for (int i = 0; i < 4; ++i) {
            a.onOpenFailed(false, {9000});
        }
        CPPUNIT_ASSERT(!a.mayOpen({9000}));
        a.onGrant(budget.onReport(*a.poll({9000}), {9000}).value());
        CPPUNIT_ASSERT(a.allowance() <= 3);
        run(9100, 11000, true);
        CPPUNIT_ASSERT_EQUAL(10, a.allowance() + b.allowance());
        CPPUNIT_ASSERT_EQUAL(5, a.allowance());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_budget_test);
