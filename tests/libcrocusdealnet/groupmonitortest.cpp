#include "groupmonitor.h"
#include "fakedatabase.h"

#include <asio/executor_work_guard.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <future>
#include <iostream>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

time_point steadyNow()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

/** Polls every 5 ms; false if @p condition does not hold within @p limit. */
bool eventually(const std::function<bool()> &condition, duration limit)
{
    const auto end = steadyNow() + limit;
    while (!condition()) {
        if (steadyNow() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

}

class group_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(group_monitor_test);
    CPPUNIT_TEST(probesWithinItsBudget);
    CPPUNIT_TEST(confirmsWritesThatReplicasHold);
    CPPUNIT_TEST(leavesUnheldWritesUnconfirmed);
    CPPUNIT_TEST(replacesACrashedPrimary);
    CPPUNIT_TEST(replacesAHungPrimary);
    CPPUNIT_TEST(goesOnAfterALostPromoteAnswer);
    CPPUNIT_TEST(agreesWithARivalMonitor);
    CPPUNIT_TEST(answersNoReadIndexWithoutMajority);
    CPPUNIT_TEST(changesThePrimaryAsPlanned);
    CPPUNIT_TEST(holdsWorkBeforeAPlannedChange);
    CPPUNIT_TEST(fencesNothingForAnUnreachableTarget);
    CPPUNIT_TEST(movesADrainedPrimary);
    CPPUNIT_TEST(repairsADatabaseThatComesBack);
    CPPUNIT_TEST(takesPeersAnswersIntoAccount);
    CPPUNIT_TEST(learnsTheGroupOnceStatementsAreRouted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>();
        m_work.emplace(m_context->get_executor());
        m_databases = std::make_shared<fake_group>(*m_context, 3);
        m_databases->start();
        for (auto &worker : m_workers) {
            worker = std::thread([this] { m_context->run(); });
        }
        m_rank = 0;
        m_prober = true;
        m_hints.clear();
    }

    void tearDown() override
    {
        if (m_monitor) {
            m_monitor->stop();
        }
        m_databases->stop();
        m_work.reset();
        for (auto &worker : m_workers) {
            worker.join();
        }
        m_monitor.reset();
        m_databases.reset();
        m_context.reset();
    }

    /** Guards against probes that cost more control traffic than planned: 4/s to the primary, 2/s to a replica. */
    void probesWithinItsBudget()
    {
        startMonitor();
        const std::array<int, 3> before{
            m_databases->statusQueries(0), m_databases->statusQueries(1), m_databases->statusQueries(2)};
        std::this_thread::sleep_for(std::chrono::seconds(2));
        CPPUNIT_ASSERT(m_databases->statusQueries(0) - before[0] <= 9);
        for (const int replica : {1, 2}) {
            CPPUNIT_ASSERT(m_databases->statusQueries(replica) - before[static_cast<std::size_t>(replica)] <= 5);
        }
    }

    /** Guards against acknowledging late, and against more than one control connection to a target. */
    void confirmsWritesThatReplicasHold()
    {
        startMonitor();
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(confirm_result::Confirmed, writeAndConfirm(1000_ms));
        }
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - begin;
        std::cout << " mean confirmation " << taken.count() / 20 << " ms, copies each 2 ms" << std::flush;
        const auto view = m_monitor->view();
        CPPUNIT_ASSERT(view->find(target_id("b"))->status->at == (position{1, 20})
                       || view->find(target_id("c"))->status->at == (position{1, 20}));
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(1, m_databases->openConnections(i));
            CPPUNIT_ASSERT_EQUAL(std::string("crocusdeal-control-self"), m_databases->applicationNames(i).at(0));
        }
    }

    /** Guards against acknowledging a write that a failover would lose. */
    void leavesUnheldWritesUnconfirmed()
    {
        startMonitor();
        m_databases->setCopying(1, false);
        m_databases->setCopying(2, false);
        CPPUNIT_ASSERT_EQUAL(confirm_result::DeadlinePassed, writeAndConfirm(300_ms));
    }

    /** Guards against a group without a primary, and a failover gap above 3 s. */
    void replacesACrashedPrimary()
    {
        startMonitor();
        CPPUNIT_ASSERT_EQUAL(confirm_result::Confirmed, writeAndConfirm(1000_ms));
        const auto crashedAt = steadyNow();
        m_databases->crash(0);
        CPPUNIT_ASSERT(eventually([this] { return primaryName() != "a" && !primaryName().empty(); }, 3_s));
        std::cout << " failover gap " << (steadyNow() - crashedAt).ms << " ms" << std::flush;
        const int index = primaryName() == "b" ? 1 : 2;
        CPPUNIT_ASSERT(m_databases->status(index).role == target_role::Primary);
        CPPUNIT_ASSERT(m_databases->status(index).at == (position{1, 1}));
        const auto other = 3 - index;
        CPPUNIT_ASSERT(eventually(
            [&] { return m_databases->status(other).following == upstreamName(m_databases->targets().at(index)); },
            1_s));
        CPPUNIT_ASSERT(eventually([this] { return !hints().empty(); }, 1_s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), hints().front());
    }

    /** Guards against waiting without end for a primary that accepts connections but answers nothing. */
    void replacesAHungPrimary()
    {
        startMonitor();
        const auto hungAt = steadyNow();
        m_databases->hang(0);
        CPPUNIT_ASSERT(eventually([this] { return primaryName() != "a" && !primaryName().empty(); }, 3_s));
        std::cout << " failover gap " << (steadyNow() - hungAt).ms << " ms" << std::flush;
    }

    /** Guards against two databases promoted at one term, and a group stuck after a lost answer. */
    void goesOnAfterALostPromoteAnswer()
    {
        startMonitor();
        m_databases->loseNextPromoteAnswer();
        m_databases->crash(0);
        CPPUNIT_ASSERT(eventually([this] { return primaryName() != "a" && !primaryName().empty(); }, 3_s));
        CPPUNIT_ASSERT(eventually([this] { return primaryCount() == 1; }, 3_s));
        const auto primary = primaryName() == "b" ? 1 : 2;
        CPPUNIT_ASSERT(m_databases->status(primary).role == target_role::Primary);
    }

    /** Guards against two instances that keep replacing each other's primary. */
    void agreesWithARivalMonitor()
    {
        startMonitor();
        auto rival = makeMonitor("rival");
        rival->start();
        CPPUNIT_ASSERT(eventually([&rival] { return rival->view()->primary.has_value(); }, 2_s));
        m_databases->crash(0);
        CPPUNIT_ASSERT(eventually([this] { return primaryName() != "a" && !primaryName().empty(); }, 4_s));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        const auto term = m_databases->status(1).term;
        std::cout << " settled at term " << term << std::flush;
        CPPUNIT_ASSERT_EQUAL(1, primaryCount());
        CPPUNIT_ASSERT(rival->view()->primary == m_monitor->view()->primary);
        CPPUNIT_ASSERT_EQUAL(term, m_databases->status(2).term);
        rival->stop();
    }

    /** Guards against routing by the position of a primary that was cut off and may have been replaced. */
    void answersNoReadIndexWithoutMajority()
    {
        startMonitor();
        CPPUNIT_ASSERT(readIndex(500_ms).has_value());
        m_rank = -1;
        m_databases->crash(1);
        m_databases->crash(2);
        CPPUNIT_ASSERT(!readIndex(500_ms).has_value());
    }

    /** Guards against losing writes to a planned change whose chosen database lags. */
    void changesThePrimaryAsPlanned()
    {
        startMonitor();
        m_databases->setCopying(2, false);
        CPPUNIT_ASSERT_EQUAL(confirm_result::Confirmed, writeAndConfirm(1000_ms));
        m_databases->setCopying(2, true);
        const auto result = promote("c");
        CPPUNIT_ASSERT_EQUAL(promotion_outcome::Promoted, result.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), result.primary.str());
        CPPUNIT_ASSERT(m_databases->status(2).at == (position{1, 1}));
        CPPUNIT_ASSERT(eventually([this] { return m_databases->status(0).role == target_role::Replica; }, 1_s));
    }

    /** Guards against a planned change that interrupts writes in flight, and against one that waits for ever. */
    void holdsWorkBeforeAPlannedChange()
    {
        startMonitor();
        m_requests = 1;
        auto ended = std::async(std::launch::async, [this] { return promote("b"); });
        CPPUNIT_ASSERT(eventually([this] { return m_monitor->view()->find(target_id("a"))->leaving; }, 200_ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_databases->status(0).term);
        m_requests = 0;
        CPPUNIT_ASSERT_EQUAL(promotion_outcome::Promoted, ended.get().outcome);
        CPPUNIT_ASSERT(!m_monitor->view()->find(target_id("a"))->leaving);
        m_requests = 1;
        CPPUNIT_ASSERT(eventually([this] { return primaryName() == "b"; }, 1_s));
        CPPUNIT_ASSERT_EQUAL(promotion_outcome::Promoted, promote("c").outcome);
    }

    /** Guards against stopping writes for a planned change that cannot succeed. */
    void fencesNothingForAnUnreachableTarget()
    {
        startMonitor();
        m_databases->crash(2);
        std::this_thread::sleep_for(std::chrono::milliseconds(1100));
        CPPUNIT_ASSERT_EQUAL(promotion_outcome::TargetNotReached, promote("c").outcome);
        CPPUNIT_ASSERT_EQUAL(promotion_outcome::TargetNotReached, promote("nobody").outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_databases->status(0).term);
    }

    /** Guards against a drained database that stays primary. */
    void movesADrainedPrimary()
    {
        startMonitor();
        m_monitor->setDrained({target_id("a"), target_id("b")});
        CPPUNIT_ASSERT(eventually([this] { return primaryName() == "c"; }, 2_s));
    }

    /** Guards against a former primary that stays apart from the group. */
    void repairsADatabaseThatComesBack()
    {
        startMonitor();
        m_databases->crash(0);
        CPPUNIT_ASSERT(eventually([this] { return primaryName() == "b" || primaryName() == "c"; }, 3_s));
        m_databases->restart(0);
        CPPUNIT_ASSERT(eventually([this] { return m_databases->status(0).role == target_role::Replica; }, 4_s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_databases->status(0).term);
    }

    /** Guards against replacing a primary that only this instance does not reach. */
    void takesPeersAnswersIntoAccount()
    {
        startMonitor();
        const auto status = m_databases->status(0);
        const target_state state{status.term, status.role, status.at};
        m_databases->crash(0);
        const auto end = steadyNow() + 1500_ms;
        while (steadyNow() < end) {
            m_monitor->observePeer(target_id("a"), state, steadyNow() - 20_ms);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a"), primaryName());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_monitor->view()->highestTerm);
    }

    /** Guards against an instance without probing duty that knows no target, and against probes nobody needs. */
    void learnsTheGroupOnceStatementsAreRouted()
    {
        m_rank = -1;
        m_prober = false;
        startMonitor(false);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(0, m_databases->openConnections(0));
        CPPUNIT_ASSERT(eventually([this] { return primaryName() == "a"; }, 500_ms));
        CPPUNIT_ASSERT(eventually([this] { return m_monitor->facts().size() == 3; }, 500_ms));
    }

private:
    std::shared_ptr<group_monitor> makeMonitor(const std::string &name)
    {
        group_monitor_settings settings;
        settings.group = group_id("orders");
        settings.targets = m_databases->targets();
        settings.self = instance_id(name);
        settings.user = "crocusdeal";
        settings.database = "orders";
        group_monitor_hooks hooks;
        hooks.now = &steadyNow;
        hooks.log = [](group_log_level level, const std::string &line) {
            if (std::getenv("CROCUSDEAL_TEST_LOG") != nullptr) {
                std::cerr << steadyNow().ms << ' ' << static_cast<int>(level) << ' ' << line << '\n';
            }
        };
        hooks.onViewChanged = [](const group_view_ptr &) {};
        hooks.candidateRank = [this] { return m_rank.load(); };
        hooks.isProber = [this](const target_id &) { return m_prober.load(); };
        hooks.requestsAt = [this](const target_id &) { return m_requests.load(); };
        hooks.onHint = [this](std::uint64_t term, const target_id &) {
            const std::lock_guard lock(m_mutex);
            m_hints.push_back(term);
        };
        return std::make_shared<group_monitor>(*m_context, std::move(settings), std::move(hooks));
    }

    void startMonitor(bool awaitPrimary = true)
    {
        m_monitor = makeMonitor("self");
        m_monitor->start();
        CPPUNIT_ASSERT(!awaitPrimary || eventually([this] { return primaryName() == "a"; }, 2_s));
    }

    int primaryCount() const
    {
        int count = 0;
        for (int i = 1; i < 3; ++i) {
            count += m_databases->status(i).role == target_role::Primary ? 1 : 0;
        }
        return count;
    }

    std::string primaryName() const
    {
        return m_monitor->view()->primary.value_or(target_id()).str();
    }

    std::vector<std::uint64_t> hints()
    {
        const std::lock_guard lock(m_mutex);
        return m_hints;
    }

    confirm_result writeAndConfirm(duration limit)
    {
        const auto askedAt = steadyNow();
        const auto at = m_databases->write(0);
        CPPUNIT_ASSERT(at.has_value());
        m_monitor->observe(target_id("a"), {1, target_role::Primary, *at}, askedAt);
        std::promise<confirm_result> done;
        m_monitor->confirmWrite(*at, steadyNow() + limit, [&done](confirm_result result) { done.set_value(result); });
        return done.get_future().get();
    }

    promotion_result promote(const char *name)
    {
        std::promise<promotion_result> done;
        m_monitor->promote(target_id(name), [&done](const promotion_result &result) { done.set_value(result); });
        return done.get_future().get();
    }

    std::optional<position> readIndex(duration limit)
    {
        std::promise<std::optional<position>> done;
        const auto now = steadyNow();
        m_monitor->readIndex(now, now + limit, [&done](std::optional<position> at) { done.set_value(at); });
        return done.get_future().get();
    }

    std::unique_ptr<asio::io_context> m_context;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> m_work;
    std::array<std::thread, 2> m_workers;
    std::shared_ptr<fake_group> m_databases;
    std::shared_ptr<group_monitor> m_monitor;
    std::atomic<int> m_rank = 0;
    std::atomic<bool> m_prober = true;
    std::atomic<int> m_requests = 0;
    std::mutex m_mutex;
    std::vector<std::uint64_t> m_hints;
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_monitor_test);
