#include "configurationspread.h"
#include "virtualfleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr time_point start{1000};
const instance_id peerA("a");
const instance_id peerB("b");

configuration_reply fullReply(std::uint64_t version, const std::string &text)
{
    configuration_reply reply;
    reply.version = version;
    reply.text = text;
    reply.hash = textHash(text);
    return reply;
}

}

class configuration_spread_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_spread_test);
    CPPUNIT_TEST(changesRebuildAnyText);
    CPPUNIT_TEST(anyPeerStateIsBroughtForward);
    CPPUNIT_TEST(versionNeverReverts);
    CPPUNIT_TEST(corruptTextIsNotApplied);
    CPPUNIT_TEST(readyOnlyWithNewestReachableVersion);
    CPPUNIT_TEST(falseClaimDoesNotBlock);
    CPPUNIT_TEST(silentPeersLeadToPlatform);
    CPPUNIT_TEST(busyPeerIsAskedAgain);
    CPPUNIT_TEST(olderPeerIsBroughtForward);
    CPPUNIT_TEST(inForceEverywhereUnderLoss);
    CPPUNIT_TEST(racingVersionsEndAtTheNewest);
    CPPUNIT_TEST(cutSideCatchesUpWithoutPlatform);
    CPPUNIT_TEST(restartDuringPlatformOutage);
    CPPUNIT_TEST(watchersFollowMembership);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a delta that loses bytes where prefix and suffix overlap. */
    void changesRebuildAnyText()
    {
        const bool held = rc::check([](const std::string &head, const std::string &a, const std::string &b) {
            const auto from = head + a + head;
            const auto to = head + b + head;
            const auto change = makeTextChange(1, from, 2, to);
            RC_ASSERT(applyTextChange(from, change) == to);
            RC_ASSERT(change.middle.size() <= b.size() + head.size());
            RC_ASSERT(!applyTextChange(std::string(), {1, 2, 1, 0, ""}));
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against a peer that gets stuck because its versions are not among those of the one it asks. */
    void anyPeerStateIsBroughtForward()
    {
        const bool held = rc::check([] {
            configuration_spread ahead(1);
            configuration_spread behind(2);
            const auto last = *rc::gen::inRange<std::uint64_t>(2, 40);
            for (std::uint64_t version = 1; version <= last; ++version) {
                const auto text = "head" + std::to_string(version) + std::string(version * 10, 'x') + "tail";
                if (*rc::gen::inRange(0, 2) == 0 || version == last) {
                    ahead.offer(start, version, text);
                }
                if (*rc::gen::inRange(0, 3) == 0 && version < last) {
                    behind.offer(start, version, text);
                }
            }
            const auto pull = behind.heard(start, peerA, "a:1", last).pull;
            RC_ASSERT(pull.has_value());
            const auto done = behind.pullFinished(start, peerA, ahead.answer(pull->heldVersions));
            RC_ASSERT(done.applied);
            RC_ASSERT(*behind.text() == *ahead.text());
            RC_ASSERT(behind.version() == last);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against going back to an older version, from the platform, a peer or a late reply. */
    void versionNeverReverts()
    {
        const bool held = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps) {
            configuration_spread spread(1);
            std::uint64_t newest = 0;
            for (const auto &[version, source] : steps) {
                const auto text = "text " + std::to_string(version);
                if (source % 3 == 0) {
                    spread.offer(start, version, text);
                } else if (source % 3 == 1) {
                    spread.heard(start, peerA, "a:1", version);
                } else {
                    spread.pullFinished(start, peerA, fullReply(version, text));
                }
                RC_ASSERT(spread.version() >= newest);
                newest = spread.version();
                if (newest > 0) {
                    RC_ASSERT(*spread.text() == "text " + std::to_string(newest));
                }
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against a damaged text in force, and against giving up after one. */
    void corruptTextIsNotApplied()
    {
        configuration_spread spread(1);
        spread.offer(start, 1, "one");
        spread.heard(start, peerA, "a:1", 2);
        auto reply = fullReply(2, "two");
        reply.text = "twö";
        CPPUNIT_ASSERT(!spread.pullFinished(start, peerA, reply).applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, spread.version());
        CPPUNIT_ASSERT(spread.tick(start + 2_s).pull.has_value());
        CPPUNIT_ASSERT(spread.pullFinished(start + 2_s, peerA, fullReply(2, "two")).applied);
    }

    /** Guards against an instance that serves an old configuration although a peer it reached has a newer one. */
    void readyOnlyWithNewestReachableVersion()
    {
        configuration_spread spread(1);
        spread.tick(start);
        spread.heard(start, peerA, "a:1", 4);
        spread.heard(start, peerB, "b:1", 5);
        spread.pullFinished(start, peerA, fullReply(4, "four"));
        spread.tick(start + 2_s);
        CPPUNIT_ASSERT(!spread.isReady());
        spread.pullFinished(start + 2_s, peerB, fullReply(5, "five"));
        CPPUNIT_ASSERT(spread.isReady());
    }

    /** Guards against an instance that never becomes ready because a peer stated a version that nobody has. */
    void falseClaimDoesNotBlock()
    {
        configuration_spread spread(1);
        spread.tick(start);
        spread.heard(start, peerA, "a:1", 1000);
        spread.pullFinished(start, peerA, fullReply(5, "five"));
        CPPUNIT_ASSERT(!spread.tick(start + 2_s).pull.has_value());
        CPPUNIT_ASSERT(spread.isReady());
        CPPUNIT_ASSERT(spread.heard(start + 3_s, peerA, "a:1", 1001).pull.has_value());

        configuration_spread other(1);
        other.tick(start);
        other.offer(start, 5, "five");
        other.heard(start, peerA, "a:1", 6);
        other.memberGone(peerA);
        other.tick(start + 2_s);
        CPPUNIT_ASSERT(other.isReady());
    }

    /** Guards against waiting for peers that do not answer, and against reading the platform for each change. */
    void silentPeersLeadToPlatform()
    {
        configuration_spread spread(1);
        spread.offer(start, 1, "one");
        spread.heard(start, peerA, "a:1", 2);
        bool read = false;
        for (auto now = start; now < start + 13_s; now = now + 100_ms) {
            const bool reads = spread.tick(now).readPlatform;
            CPPUNIT_ASSERT(!reads || now - start >= 3_s);
            read = read || reads;
        }
        CPPUNIT_ASSERT(read);
    }

    /** Guards against a load of pulls that drives instances to the platform or leaves them behind. */
    void busyPeerIsAskedAgain()
    {
        configuration_spread spread(1);
        spread.heard(start, peerA, "a:1", 2);
        configuration_reply busy;
        busy.busy = true;
        CPPUNIT_ASSERT(!spread.pullFinished(start, peerA, busy).pull.has_value());
        const auto retry = spread.tick(start + 600_ms);
        CPPUNIT_ASSERT(retry.pull.has_value());
        CPPUNIT_ASSERT(!retry.readPlatform);
    }

    /** Guards against taking an older peer's version, and against leaving that peer where it is. */
    void olderPeerIsBroughtForward()
    {
        virtual_fleet_settings settings;
        settings.size = 3;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        fleet.setPlatformUp(false);
        fleet.node(0).offerConfiguration(fleet.time(), 4, "four");
        fleet.node(1).offerConfiguration(fleet.time(), 9, "nine");
        fleet.run(5_s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.countAt(9));
    }

    /** Guards against a change that is late at some instance when datagrams are lost. */
    void inForceEverywhereUnderLoss()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            virtual_fleet_settings settings;
            settings.size = 100;
            settings.loss = 0.2;
            settings.duplication = 0.05;
            settings.seed = seed;
            virtual_fleet fleet(settings);
            fleet.introduceAll();
            fleet.publish(1, std::string(10'000, 'a'));
            fleet.run(20_s);
            fleet.publish(2, std::string(10'000, 'a') + "b");
            fleet.run(13_s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{100}, fleet.countAt(2));
        }
    }

    /** Guards against instances that stay at the loser of two versions published at nearly the same time. */
    void racingVersionsEndAtTheNewest()
    {
        virtual_fleet_settings settings;
        settings.size = 60;
        settings.loss = 0.1;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        std::map<std::size_t, std::uint64_t> last;
        bool reverted = false;
        fleet.onApplied = [&](std::size_t instance, std::uint64_t version) {
            reverted = reverted || version <= last[instance];
            last[instance] = version;
        };
        fleet.publish(1, "base");
        fleet.run(13_s);
        fleet.publish(2, "base with two");
        fleet.run(50_ms);
        fleet.publish(3, "three based");
        fleet.run(13_s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, fleet.countAt(3));
        CPPUNIT_ASSERT(!reverted);
    }

    /** Guards against a side that needs the platform to catch up after a cut. */
    void cutSideCatchesUpWithoutPlatform()
    {
        virtual_fleet_settings settings;
        settings.size = 30;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        fleet.publish(1, "one");
        fleet.run(10_s);
        fleet.cut([](std::size_t i) { return i % 3 == 0 ? 1 : 0; });
        fleet.setPlatformUp(false);
        fleet.run(3_s);
        fleet.node(1).offerConfiguration(fleet.time(), 2, "two");
        fleet.run(10_s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, fleet.countAt(2));
        fleet.heal();
        fleet.run(13_s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, fleet.countAt(2));
    }

    /** Guards against an instance that cannot start while the platform is down although its peers run. */
    void restartDuringPlatformOutage()
    {
        virtual_fleet_settings settings;
        settings.size = 5;
        virtual_fleet fleet(settings);
        fleet.run(5_s);
        fleet.publish(7, "seven");
        fleet.run(5_s);
        fleet.setPlatformUp(false);
        fleet.restart(2);
        CPPUNIT_ASSERT(!fleet.node(2).configuration().isReady());
        fleet.run(5_s);
        CPPUNIT_ASSERT(fleet.node(2).configuration().isReady());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet.node(2).configuration().version());
    }

    /** Guards against a data centre without a watch after its watchers failed, and against a watch in each instance. */
    void watchersFollowMembership()
    {
        virtual_fleet_settings settings;
        settings.size = 30;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        fleet.run(2_s);
        const auto watchers = [&fleet] {
            std::vector<std::size_t> found;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (fleet.node(i).ownership().shouldWatchPlatform()) {
                    found.push_back(i);
                }
            }
            return found;
        };
        const auto before = watchers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, before.size());
        for (const auto index : before) {
            fleet.stop(index);
        }
        fleet.run(30_s);
        std::size_t live = 0;
        for (const auto index : watchers()) {
            live += std::find(before.begin(), before.end(), index) == before.end() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, live);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_spread_test);
