#include "configurationevidence.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr time_point start{100000};

time_point at(std::int64_t ms)
{
    return start + duration{ms};
}

/** Instances that read a store whose version grows, and tell each other what they know over slow links. */
class evidence_world
{
public:
    explicit evidence_world(std::uint32_t seed)
        : m_random(seed)
        , m_instances(4)
    {
    }

    /** What was wrong, or nothing. */
    std::optional<std::string> run()
    {
        for (int i = 0; i < 400; ++i) {
            m_now = m_now + duration{1 + randomUpTo(40)};
            if (randomUpTo(10) == 0) {
                m_changes.push_back(m_now);
            }
            startSomething();
            for (int j = 0; j < 3 && !m_messages.empty(); ++j) {
                finishSomething();
            }
            for (const auto &instance : m_instances) {
                const auto currentAt = instance.evidence.currentAt();
                if (currentAt > m_now || (currentAt != never && versionAt(currentAt) > instance.inForce)) {
                    return "version " + std::to_string(instance.inForce) + " was not the newest at "
                        + std::to_string((currentAt - start).ms);
                }
                m_confirmed += currentAt != never && m_now - currentAt < 300_ms ? 1 : 0;
            }
        }
        return std::nullopt;
    }

    int confirmed() const
    {
        return m_confirmed;
    }

private:
    struct node {
        configuration_evidence evidence;
        std::uint64_t inForce = 0;
    };
    struct message {
        std::size_t to = 0;
        std::optional<std::size_t> from; ///< Nothing for the store.
        time_point askedAt;
        std::uint64_t version = 0; ///< Of the store's answer.
        std::optional<reported_configuration> report;
        bool isAnswered = false;
    };

    std::int64_t randomUpTo(int most)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint32_t>(most));
    }

    std::uint64_t versionAt(time_point time) const
    {
        std::uint64_t version = 1;
        for (const auto change : m_changes) {
            version += change <= time ? 1 : 0;
        }
        return version;
    }

    void startSomething()
    {
        message question;
        question.to = m_random() % m_instances.size();
        question.askedAt = m_now;
        if (randomUpTo(4) != 0) {
            question.from = m_random() % m_instances.size();
        }
        m_messages.push_back(question);
    }

    /** The question arrives, or its answer; in any order. */
    void finishSomething()
    {
        const auto index = m_random() % m_messages.size();
        auto &one = m_messages[index];
        if (!one.isAnswered) {
            one.isAnswered = true;
            one.version = versionAt(m_now);
            if (one.from) {
                one.report = m_instances[*one.from].evidence.report(m_now);
            }
            return;
        }
        auto &receiver = m_instances[one.to];
        if (!one.from) {
            // The configuration comes into force before or after what it proves.
            receiver.evidence.recordReading(one.version, one.askedAt);
            if (randomUpTo(3) != 0) {
                receiver.inForce = std::max(receiver.inForce, one.version);
                receiver.evidence.setInForce(one.version);
            }
        } else if (one.report) {
            receiver.evidence.recordReport(*one.report, one.askedAt);
        }
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }

    std::mt19937 m_random;
    time_point m_now = start;
    std::vector<time_point> m_changes;
    std::vector<node> m_instances;
    std::deque<message> m_messages;
    int m_confirmed = 0;
};

}

class configuration_evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_evidence_test);
    CPPUNIT_TEST(nothingIsProvedBeforeTheFirstEvidence);
    CPPUNIT_TEST(newerVersionProvesNothingOfAnOlderOne);
    CPPUNIT_TEST(evidenceOfANewerVersionCountsOnceThatIsInForce);
    CPPUNIT_TEST(reportCountsFromTheQuestion);
    CPPUNIT_TEST(olderEvidenceThatComesLaterChangesNothing);
    CPPUNIT_TEST(newestEvidenceIsReported);
    CPPUNIT_TEST(manyVersionsAreNotKept);
    CPPUNIT_TEST(evidenceIsRenewedBeforeItLapses);
    CPPUNIT_TEST(evidenceIsNeverWrong);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an instance that runs work with keys before it has heard anything. */
    void nothingIsProvedBeforeTheFirstEvidence()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        CPPUNIT_ASSERT(evidence.currentAt() == never);
        CPPUNIT_ASSERT(!evidence.report(at(0)));
    }

    /** Guards against taking a key for good that the newer version took away. */
    void newerVersionProvesNothingOfAnOlderOne()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        evidence.recordReading(3, at(0));
        evidence.recordReport({4, 100_ms}, at(1000));
        CPPUNIT_ASSERT(evidence.currentAt() == at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, evidence.newestKnown());
        CPPUNIT_ASSERT(evidence.reportedAt() == never);
    }

    /** Guards against a pause in service while a change comes into force that another instance has told of. */
    void evidenceOfANewerVersionCountsOnceThatIsInForce()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        evidence.recordReport({4, 100_ms}, at(1000));
        evidence.setInForce(4);
        CPPUNIT_ASSERT(evidence.currentAt() == at(900));
    }

    /** Guards against counting the way of the answer, in which the configuration may change, as time proved. */
    void reportCountsFromTheQuestion()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        evidence.recordReport({2, 400_ms}, at(1000));
        CPPUNIT_ASSERT(evidence.currentAt() == at(600));
        CPPUNIT_ASSERT(evidence.reportedAt() == at(600));
        evidence.recordReport({3, duration{-5000}}, at(1100));
        CPPUNIT_ASSERT(evidence.currentAt() == at(1100));
    }

    /** Guards against a late answer that shortens what an earlier one proved. */
    void olderEvidenceThatComesLaterChangesNothing()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        evidence.recordReading(3, at(1000));
        evidence.recordReading(3, at(500));
        evidence.recordReading(2, at(200));
        CPPUNIT_ASSERT(evidence.currentAt() == at(1000));
    }

    /** Guards against a report of the version in force with the age of another one. */
    void newestEvidenceIsReported()
    {
        configuration_evidence evidence;
        evidence.setInForce(3);
        evidence.recordReading(3, at(0));
        evidence.recordReading(5, at(400));
        const reported_configuration expected{5, 100_ms};
        CPPUNIT_ASSERT(evidence.report(at(500)) == expected);
    }

    /** Guards against memory that grows with the changes which this instance could not read. */
    void manyVersionsAreNotKept()
    {
        configuration_evidence evidence;
        for (std::uint64_t version = 1; version <= 1000; ++version) {
            evidence.recordReading(version, at(static_cast<std::int64_t>(version)));
        }
        evidence.setInForce(990);
        CPPUNIT_ASSERT(evidence.currentAt() == never);
        evidence.setInForce(1000);
        CPPUNIT_ASSERT(evidence.currentAt() == at(1000));
    }

    /** Guards against evidence that lapses between two renewals, and against all instances that ask at once. */
    void evidenceIsRenewedBeforeItLapses()
    {
        for (const auto revocation : {1000_ms, 5000_ms, 60000_ms}) {
            const auto first = evidenceTimes(revocation, 0);
            const auto last = evidenceTimes(revocation, 100);
            CPPUNIT_ASSERT(first.validFor < revocation);
            // Service may be expected for 0.6 of the revocation time.
            CPPUNIT_ASSERT(first.validFor.ms * 10 >= revocation.ms * 7);
            CPPUNIT_ASSERT(first.watchWait * 2 < first.validFor);
            CPPUNIT_ASSERT(first.watchWait < first.staleAfter);
            CPPUNIT_ASSERT(first.staleAfter < evidenceTimes(revocation, 1).staleAfter);
            CPPUNIT_ASSERT(last.staleAfter.ms * 5 < last.validFor.ms * 4);
        }
    }

    /** Guards against any order of changes, readings and reports that proves an outdated version current. */
    void evidenceIsNeverWrong()
    {
        int confirmed = 0;
        for (std::uint32_t seed = 0; seed < 2000; ++seed) {
            evidence_world world(seed);
            const auto problem = world.run();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + problem.value_or(""), !problem);
            confirmed += world.confirmed();
        }
        CPPUNIT_ASSERT(confirmed > 100000); // Against a vacuous pass.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_evidence_test);
