#include "faultplan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class fault_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_plan_test);
    CPPUNIT_TEST(seedGivesTheSamePlanAgain);
    CPPUNIT_TEST(onlyAllowedFaultsAreDrawn);
    CPPUNIT_TEST(faultsMeetTroubleOfThePrimary);
    CPPUNIT_TEST(entryLostIsTroubleOfItsOwn);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against findings that cannot be played again. */
    void seedGivesTheSamePlanAgain()
    {
        const std::set<fault_kind> kinds{fault_kind::PrimaryCut, fault_kind::ReplicaCrash, fault_kind::LateOrder};
        CPPUNIT_ASSERT_EQUAL(describe(drawFaults(7, 60000_ms, kinds)), describe(drawFaults(7, 60000_ms, kinds)));
        CPPUNIT_ASSERT(describe(drawFaults(7, 60000_ms, kinds)) != describe(drawFaults(8, 60000_ms, kinds)));
    }

    /** Guards against runs of one fault that others are mixed into. */
    void onlyAllowedFaultsAreDrawn()
    {
        const std::set<fault_kind> kinds{fault_kind::PrimaryCrash, fault_kind::ReplicaJoin};
        const auto faults = drawFaults(3, 120000_ms, kinds);
        CPPUNIT_ASSERT(!faults.empty());
        CPPUNIT_ASSERT(
            std::all_of(faults.begin(), faults.end(), [&](const auto &fault) { return kinds.contains(fault.kind); }));
    }

    /** Guards against faults that strike while nothing is to be decided. */
    void faultsMeetTroubleOfThePrimary()
    {
        const auto faults =
            drawFaults(5, 120000_ms, {fault_kind::PrimaryCut, fault_kind::ReplicaCrash, fault_kind::ReplicaJoin});
        for (const auto &fault : faults) {
            CPPUNIT_ASSERT(std::any_of(faults.begin(), faults.end(), [&](const auto &other) {
                const auto apart = fault.at - other.at;
                return other.kind == fault_kind::PrimaryCut && apart >= duration{-3000} && apart <= 3000_ms;
            }));
        }
    }

    /** Guards against a fault that is cut short by the next one of its kind. */
    void entryLostIsTroubleOfItsOwn()
    {
        const auto faults = drawFaults(5, 120000_ms, {fault_kind::EntryLost});
        CPPUNIT_ASSERT(faults.size() > 1);
        for (std::size_t i = 1; i < faults.size(); ++i) {
            CPPUNIT_ASSERT(faults.at(i).at - faults.at(i - 1).at >= 9000_ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_plan_test);
