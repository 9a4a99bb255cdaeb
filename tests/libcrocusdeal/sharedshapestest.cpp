#include "sharedshapes.h"
#include "statementcosts.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id target("t");
const instance_id owner("owner");

/** One exchange of a holder with the owner. */
std::vector<shared_shape> exchange(shape_reporter &holder, shape_ledger &ledger, time_point now)
{
    std::vector<shared_shape> learnt;
    for (const auto &report : holder.poll(true, now)) {
        learnt = holder.onUpdate(ledger.onReport(report, now));
    }
    return learnt;
}

shape_reporter makeHolder(const std::string &name)
{
    shape_reporter holder(target, instance_id(name));
    holder.setOwner(owner);
    return holder;
}

}

class shared_shapes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_shapes_test);
    CPPUNIT_TEST(carriesShapesToOthers);
    CPPUNIT_TEST(repeatsLostReports);
    CPPUNIT_TEST(reportsAgainToANewOwner);
    CPPUNIT_TEST(prefersCorrections);
    CPPUNIT_TEST(boundsMessagesAndTable);
    CPPUNIT_TEST(forgetsWhatNobodyReports);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a restarted instance that does not hear of long shapes, and against repeating known ones. */
    void carriesShapesToOthers()
    {
        shape_ledger ledger(1);
        auto a = makeHolder("a");
        auto b = makeHolder("b");
        a.setMeasured({{7, 900_ms, true}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), a.poll(false, {0}).size());
        exchange(a, ledger, {600});
        CPPUNIT_ASSERT(exchange(b, ledger, {700}) == (std::vector<shared_shape>{{7, 900_ms, true}}));
        CPPUNIT_ASSERT(exchange(b, ledger, {800}).empty());
        CPPUNIT_ASSERT(a.poll(false, {1000}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), a.poll(true, {1000}).at(0).shapes.size());
        auto restarted = makeHolder("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange(restarted, ledger, {2000}).size());
    }

    /** Guards against shapes that are never told because one message was lost. */
    void repeatsLostReports()
    {
        shape_ledger ledger(1);
        auto a = makeHolder("a");
        auto b = makeHolder("b");
        a.setMeasured({{7, 900_ms, true}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), a.poll(false, {0}).size());
        CPPUNIT_ASSERT(a.poll(false, {100}).empty());
        const auto repeated = a.poll(false, {600});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), repeated.at(0).shapes.size());
        ledger.onReport(repeated.at(0), {600});
        const auto lost = b.poll(true, {700});
        ledger.onReport(lost.at(0), {700});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange(b, ledger, {1300}).size());
    }

    /** Guards against an owner that took over and never hears of the shapes that were told to the earlier one. */
    void reportsAgainToANewOwner()
    {
        shape_ledger first(1);
        auto a = makeHolder("a");
        a.setMeasured({{7, 900_ms, true}});
        exchange(a, first, {0});
        shape_ledger second(2);
        exchange(a, second, {1000}); // The same instance took over anew, for example after a pause.
        exchange(a, second, {2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
        shape_ledger third(3);
        a.setOwner(instance_id("other"));
        exchange(a, third, {3000});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), third.size());
    }

    /** Guards against point reads that waited once in a busy target and then need a permit on all instances. */
    void prefersCorrections()
    {
        shape_ledger ledger(1);
        auto a = makeHolder("a");
        auto b = makeHolder("b");
        statement_costs costsOfB;
        for (std::int64_t i = 0; i < 5; ++i) {
            costsOfB.record(7, 5_ms, {i});
        }
        a.setMeasured({{7, 900_ms, true}});
        exchange(a, ledger, {0});
        for (const auto &shape : exchange(b, ledger, {100})) {
            costsOfB.adopt(shape, {100});
        }
        CPPUNIT_ASSERT(!costsOfB.isLong(7));
        b.setMeasured(costsOfB.measured({200}));
        exchange(b, ledger, {200});
        const auto corrected = exchange(a, ledger, {300});
        CPPUNIT_ASSERT(corrected == (std::vector<shared_shape>{{7, 5_ms, false}}));
        exchange(a, ledger, {20400}); // Reports the shape as long once more.
        auto fresh = makeHolder("c");
        CPPUNIT_ASSERT(!exchange(fresh, ledger, {20500}).at(0).isLong);
    }

    /** Guards against messages and memory that grow with the number of shapes. */
    void boundsMessagesAndTable()
    {
        shape_ledger ledger(1, {100, 60_s});
        auto a = makeHolder("a");
        auto b = makeHolder("b");
        std::vector<shared_shape> shapes;
        for (std::uint64_t i = 1; i <= 150; ++i) {
            shapes.push_back({i, 900_ms, true});
        }
        a.setMeasured(shapes);
        std::size_t learnt = 0;
        for (std::int64_t i = 0; i < 10; ++i) {
            const auto report = a.poll(true, {i * 1000});
            CPPUNIT_ASSERT(report.at(0).shapes.size() <= maxShapesPerMessage);
            a.onUpdate(ledger.onReport(report.at(0), {i * 1000}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), ledger.size());
        for (std::int64_t i = 10; i < 20; ++i) {
            const auto received = exchange(b, ledger, {i * 1000});
            CPPUNIT_ASSERT(received.size() <= maxShapesPerMessage);
            learnt += received.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), learnt);
    }

    /** Guards against shapes that stay long for new instances after they have become short. */
    void forgetsWhatNobodyReports()
    {
        shape_ledger ledger(1);
        auto a = makeHolder("a");
        a.setMeasured({{7, 900_ms, true}});
        exchange(a, ledger, {0});
        exchange(a, ledger, {30000});
        auto b = makeHolder("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange(b, ledger, {80000}).size());
        auto c = makeHolder("c");
        CPPUNIT_ASSERT(exchange(c, ledger, {90000}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_shapes_test);
