#include "modelworld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <future>
#include <iostream>

using namespace crocusdeal;
using namespace crocusdeal::model;

namespace
{

// The sanitizers make a history about 15 times slower; the plain build runs the full number.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int histories = 200;
#else
constexpr int histories = 2000;
#endif
constexpr int searchLimit = 3000;

int fromEnvironment(const char *name, int fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::atoi(text) : fallback;
}

std::uint64_t firstSeed()
{
    return static_cast<std::uint64_t>(fromEnvironment("CROCUSDEAL_MODEL_SEED", 20261204));
}

}

/** Random histories of databases, instances and callers; CROCUSDEAL_MODEL_SEED and _HISTORIES choose others. */
class group_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(group_model_test);
    CPPUNIT_TEST(keepsItsPromises);
    CPPUNIT_TEST(findsConfirmationByThePrimaryAlone);
    CPPUNIT_TEST(findsFenceOfOneDatabase);
    CPPUNIT_TEST(findsChoiceByOffsetAlone);
    CPPUNIT_TEST(findsUncheckedReplicaTerm);
    CPPUNIT_TEST(findsReadWithoutReadIndex);
    CPPUNIT_TEST(findsUnconfirmedTerm);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against lost acknowledged writes, two primaries, missed own writes, too old reads and a stuck group. */
    void keepsItsPromises()
    {
        const int count = fromEnvironment("CROCUSDEAL_MODEL_HISTORIES", histories);
        auto rest = std::async(std::launch::async, [count] { return runMany(count / 2, count); });
        outcome sum = runMany(0, count / 2);
        sum.add(rest.get());
        std::cout << "\n  " << count << " histories from seed " << firstSeed() << ": " << sum.acknowledged
                  << " writes acknowledged, " << sum.unknown << " of unknown outcome, " << sum.reads << " reads, "
                  << sum.staleReads << " stale reads, " << sum.promotions << " promotions" << std::flush;
        CPPUNIT_ASSERT_EQUAL(0, sum.total());
        CPPUNIT_ASSERT(sum.acknowledged > count && sum.promotions > count);
    }

    /** Guards against a model that never loses a write that only the primary holds. */
    void findsConfirmationByThePrimaryAlone()
    {
        auto options = fastSettings();
        options.confirm = confirm_mode::Primary;
        search(options, {violation::LostWrite});
    }

    /** Guards against a model in which a majority is not needed to promote. */
    void findsFenceOfOneDatabase()
    {
        auto options = fastSettings();
        options.policy.fenceMajority = false;
        search(options, {violation::LostWrite, violation::TwoPrimaries});
    }

    /** Guards against a model in which no longer log of an older term competes for a promotion. */
    void findsChoiceByOffsetAlone()
    {
        auto options = fastSettings();
        options.policy.compareEntryTerms = false;
        search(options, {violation::LostWrite});
    }

    /** Guards against a model in which replicas of a newer term never seem to hold an old primary's write. */
    void findsUncheckedReplicaTerm()
    {
        auto options = fastSettings();
        options.policy.checkReplicaTerm = false;
        search(options, {violation::LostWrite});
    }

    /** Guards against a model in which callers without a token never come back before the replicas have their writes.
     */
    void findsReadWithoutReadIndex()
    {
        auto options = fastSettings();
        options.router.readIndexFirst = false;
        search(options, {violation::MissedOwnWrite});
    }

    /** Guards against a model in which a replaced primary never answers a read index or dates a read. */
    void findsUnconfirmedTerm()
    {
        auto options = fastSettings();
        options.policy.confirmCurrentTerm = false;
        search(options, {violation::MissedOwnWrite, violation::TooOld});
    }

private:
    static outcome runMany(int begin, int end)
    {
        outcome sum;
        for (int i = begin; i < end; ++i) {
            const auto result = world(firstSeed() + i, fastSettings()).run();
            if (result.total() > 0) {
                std::cout << "\n  seed " + std::to_string(firstSeed() + i) + ':' + describe(result) << std::flush;
            }
            sum.add(result);
        }
        return sum;
    }

    static std::string describe(const outcome &result)
    {
        std::string text;
        for (std::size_t i = 0; i < result.violations.size(); ++i) {
            if (result.violations[i] > 0) {
                text += ' ' + std::string(violationNames.name(static_cast<violation>(i))) + ' '
                    + std::to_string(result.violations[i]);
            }
        }
        return text;
    }

    /** Runs histories until one shows one of the @p expected violations. */
    void search(const settings &options, const std::vector<violation> &expected)
    {
        for (int i = 0; i < searchLimit; ++i) {
            const auto result = world(firstSeed() + i, options).run();
            for (const auto kind : expected) {
                if (result.count(kind) > 0) {
                    std::cout << " found after " << i + 1 << " histories:" << describe(result) << std::flush;
                    return;
                }
            }
        }
        CPPUNIT_FAIL("no violation found");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_model_test);
