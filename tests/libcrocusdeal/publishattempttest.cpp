#include "publishattempt.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace crocusdeal;

namespace
{

service_file fileOf(const std::string &service, int slots)
{
    service_configuration configuration;
    configuration.service = service_id(service);
    configuration.group = group_id(service);
    const auto port = static_cast<std::uint16_t>(1000 + service.back());
    configuration.targets = {{target_id(service), "10.0.0.1", port, data_centre_id("a")}};
    configuration.limits = {1000, slots};
    return {service + ".json", configuration, true};
}

/** The platform's object: its versions, and updates that are still on their way. */
class simulated_platform
{
public:
    simulated_platform()
        : m_versions(1)
    {
    }

    bool put(fleet_configuration update)
    {
        if (update.version != current().version) {
            return false;
        }
        ++update.version;
        m_versions.push_back(std::move(update));
        return true;
    }

    void delay(const fleet_configuration &update)
    {
        m_onTheirWay.push_back(update);
    }

    void deliver(std::size_t index)
    {
        if (index < m_onTheirWay.size()) {
            put(m_onTheirWay[index]);
            m_onTheirWay.erase(m_onTheirWay.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    const fleet_configuration &current() const
    {
        return m_versions.back();
    }
    const std::vector<fleet_configuration> &versions() const
    {
        return m_versions;
    }

private:
    std::vector<fleet_configuration> m_versions;
    std::vector<fleet_configuration> m_onTheirWay;
};

struct publisher {
    std::string id;
    std::vector<service_file> files;
    race_policy policy;
    publish_attempt attempt;
    std::optional<std::uint64_t> firstRead;

    bool names(const service_id &service) const
    {
        return std::any_of(files.begin(), files.end(), [&](const service_file &file) {
            return file.configuration.service == service;
        });
    }
};

publisher arbitraryPublisher(int index)
{
    const auto count = *rc::gen::inRange(1, 3);
    std::vector<service_file> files;
    for (int i = 0; i < count; ++i) {
        const std::string service(1, static_cast<char>('a' + (*rc::gen::inRange(0, 3) + i) % 4));
        if (std::none_of(
                files.begin(), files.end(), [&](const auto &f) { return f.configuration.service.str() == service; })) {
            files.push_back(fileOf(service, 1 + index));
        }
    }
    const auto policy = *rc::gen::element(race_policy::Refuse, race_policy::RebaseDisjoint, race_policy::Replan);
    const auto id = "change-" + std::to_string(index);
    return {id, files, policy, publish_attempt(planPublish(files, {}), id, policy), std::nullopt};
}

void executeUpdate(simulated_platform &platform, publish_attempt &attempt)
{
    const auto update = attempt.update();
    switch (*rc::gen::inRange(0, 6)) {
    case 0: // Takes effect, but the answer is lost.
        platform.put(update);
        attempt.onUpdate(update_answer::Lost);
        return;
    case 1: // Never arrives.
        attempt.onUpdate(update_answer::Lost);
        return;
    case 2: // Arrives after the caller has given it up.
        platform.delay(update);
        attempt.onUpdate(update_answer::Lost);
        return;
    case 3:
        attempt.onUpdate(update_answer::NotDone);
        return;
    default:
        attempt.onUpdate(platform.put(update) ? update_answer::Stored : update_answer::Conflict);
    }
}

void execute(simulated_platform &platform, publisher &publisher)
{
    auto &attempt = publisher.attempt;
    if (attempt.step() == publish_attempt::step_kind::Update) {
        executeUpdate(platform, attempt);
    } else if (attempt.step() == publish_attempt::step_kind::Read) {
        publisher.firstRead = publisher.firstRead.value_or(platform.current().version);
        attempt.onRead(platform.current());
    }
}

/** The version that contains the change of @p id as its newest; 0 if there is none. */
std::uint64_t versionOf(const simulated_platform &platform, const std::string &id)
{
    std::uint64_t found = 0;
    for (const auto &version : platform.versions()) {
        if (!version.recentChanges.empty() && version.recentChanges.back() == id) {
            RC_ASSERT(found == 0U);
            found = version.version;
        }
    }
    return found;
}

/** What others changed between the first read and the update must be allowed by the policy. */
void checkPolicy(const simulated_platform &platform, const publisher &publisher, std::uint64_t stored)
{
    const auto first = publisher.firstRead.value();
    if (publisher.policy == race_policy::Refuse) {
        RC_ASSERT(stored == first + 1);
    }
    for (auto version = first + 1; publisher.policy == race_policy::RebaseDisjoint && version < stored; ++version) {
        for (const auto &change : difference(platform.versions()[version - 1], platform.versions()[version])) {
            RC_ASSERT(!publisher.names(change.service));
        }
    }
}

void checkReport(const simulated_platform &platform, const publisher &publisher)
{
    const auto stored = versionOf(platform, publisher.id);
    const auto &report = publisher.attempt.report();
    if (report.outcome == publish_outcome::Accepted) {
        RC_ASSERT(report.version == stored);
    } else if (report.outcome != publish_outcome::Unknown) {
        RC_ASSERT(stored == 0U);
    }
    if (stored == 0) {
        return;
    }
    // The change contains what its publisher wanted and nothing else, so it reverts no earlier one.
    const auto &before = platform.versions()[stored - 1];
    const auto &after = platform.versions()[stored];
    for (const auto &file : publisher.files) {
        RC_ASSERT(*after.find(file.configuration.service) == file.configuration);
    }
    for (const auto &change : difference(before, after)) {
        RC_ASSERT(publisher.names(change.service));
    }
    checkPolicy(platform, publisher, stored);
}

}

class publish_attempt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publish_attempt_test);
    CPPUNIT_TEST(racingPublishersLoseNoAcceptedChange);
    CPPUNIT_TEST(racedOperatorIsToldWhatChanged);
    CPPUNIT_TEST(rebasesOnlyOverOtherServices);
    CPPUNIT_TEST(neverGuessesBeyondTheRecentChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against accepted changes that are lost, reverted or reported wrongly when answers are lost. */
    void racingPublishersLoseNoAcceptedChange()
    {
        const bool held = rc::check([] {
            simulated_platform platform;
            std::vector<publisher> publishers;
            const auto count = *rc::gen::inRange(2, 6);
            publishers.reserve(static_cast<std::size_t>(count));
            for (int i = 0; i < count; ++i) {
                publishers.push_back(arbitraryPublisher(i));
            }
            constexpr int steps = 60;
            for (int i = 0; i < steps; ++i) {
                execute(platform, publishers[*rc::gen::inRange<std::size_t>(0, publishers.size())]);
                platform.deliver(*rc::gen::inRange<std::size_t>(0, 6));
            }
            for (auto &publisher : publishers) {
                publisher.attempt.giveUp("time over");
            }
            for (int i = 0; i < steps; ++i) {
                platform.deliver(0);
            }
            for (const auto &publisher : publishers) {
                checkReport(platform, publisher);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against an operator who overwrites a colleague's change, or who cannot see what it was. */
    void racedOperatorIsToldWhatChanged()
    {
        simulated_platform platform;
        publish_attempt first(planPublish({fileOf("a", 1)}, {}), "first", race_policy::Refuse);
        publish_attempt second(planPublish({fileOf("a", 2)}, {}), "second", race_policy::Refuse);
        first.onRead(platform.current());
        second.onRead(platform.current());
        CPPUNIT_ASSERT(platform.put(second.update()));
        CPPUNIT_ASSERT(!platform.put(first.update()));
        first.onUpdate(update_answer::Conflict);
        first.onRead(platform.current());
        CPPUNIT_ASSERT(first.report().outcome == publish_outcome::Raced);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.report().meanwhile.size());
        CPPUNIT_ASSERT(first.report().meanwhile[0].service == service_id("a"));
    }

    /** Guards against a rebase that reverts a change to a service that the file names without changing it. */
    void rebasesOnlyOverOtherServices()
    {
        simulated_platform platform;
        fleet_configuration start;
        start.services[service_id("a")] = fileOf("a", 1).configuration;
        CPPUNIT_ASSERT(platform.put(start));
        publish_attempt disjoint(planPublish({fileOf("b", 1)}, {}), "b", race_policy::RebaseDisjoint);
        publish_attempt overlapping(
            planPublish({fileOf("a", 1), fileOf("c", 1)}, {}), "ac", race_policy::RebaseDisjoint);
        publish_attempt other(planPublish({fileOf("a", 2)}, {}), "a2", race_policy::Refuse);
        for (auto *attempt : {&disjoint, &overlapping, &other}) {
            attempt->onRead(platform.current());
        }
        CPPUNIT_ASSERT(platform.put(other.update()));
        for (auto *attempt : {&disjoint, &overlapping}) {
            attempt->onUpdate(update_answer::Conflict);
            attempt->onRead(platform.current());
        }
        CPPUNIT_ASSERT(overlapping.report().outcome == publish_outcome::Raced);
        CPPUNIT_ASSERT(disjoint.step() == publish_attempt::step_kind::Update);
        CPPUNIT_ASSERT(platform.put(disjoint.update()));
        CPPUNIT_ASSERT_EQUAL(2, platform.current().find(service_id("a"))->limits.slots);
    }

    /** Guards against "not done" for a change that was accepted and has since left the list of recent changes. */
    void neverGuessesBeyondTheRecentChanges()
    {
        const auto outcomeAfter = [](std::size_t laterChanges) {
            simulated_platform platform;
            publish_attempt attempt(planPublish({fileOf("a", 1)}, {}), "mine", race_policy::Refuse);
            attempt.onRead(platform.current());
            CPPUNIT_ASSERT(platform.put(attempt.update()));
            attempt.onUpdate(update_answer::Lost);
            for (std::size_t i = 0; i < laterChanges; ++i) {
                const auto slots = 1 + static_cast<int>(i);
                publish_attempt later(planPublish({fileOf("b", slots)}, {}), std::to_string(i), race_policy::Refuse);
                later.onRead(platform.current());
                CPPUNIT_ASSERT(platform.put(later.update()));
            }
            attempt.onRead(platform.current());
            return attempt.report().outcome;
        };
        CPPUNIT_ASSERT(outcomeAfter(publish_attempt::maxRecentChanges - 1) == publish_outcome::Accepted);
        CPPUNIT_ASSERT(outcomeAfter(publish_attempt::maxRecentChanges) == publish_outcome::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publish_attempt_test);
