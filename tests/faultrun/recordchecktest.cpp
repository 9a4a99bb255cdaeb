#include "recordcheck.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace crocusdeal;

class record_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_check_test);
    CPPUNIT_TEST(keptCommitsAreNoFinding);
    CPPUNIT_TEST(commitMissingAtAPromotionIsLost);
    CPPUNIT_TEST(commitToldAfterAPromotionThatLacksItIsLost);
    CPPUNIT_TEST(readThatMissesACommitIsStale);
    CPPUNIT_TEST(readThatMissesALostCommitIsNotStale);
    CPPUNIT_TEST(commitInTheLogTwiceIsFound);
    CPPUNIT_TEST(refusedWriteInTheLogIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_check.onFinding = [this](const std::string &finding) { m_findings.push_back(finding); };
    }

    /** Guards against findings where nothing is wrong. */
    void keptCommitsAreNoFinding()
    {
        acknowledge("w1", 1);
        m_check.leads("b", {"w1"});
        m_check.readAnswered("r1", "x", m_check.required("x"), 1);
        m_check.ended({"w1", "w2"});
        CPPUNIT_ASSERT_EQUAL(0, m_check.findings());
        CPPUNIT_ASSERT_EQUAL(1, m_check.acknowledged());
    }

    /** Guards against a rig that does not see what it is for; a commit is told once. */
    void commitMissingAtAPromotionIsLost()
    {
        acknowledge("w1", 1);
        m_check.leads("b", {});
        m_check.leads("c", {});
        assertFound("LOST: w1 of x=1 through f1, answered at 5 ms is not in the log of b");
    }

    /** Guards against overlooking an answer that an instance has held back over the promotion. */
    void commitToldAfterAPromotionThatLacksItIsLost()
    {
        const std::set<std::string> log{"w0"};
        m_check.writeAcknowledged({"w1", "x", 1, "f1", 5}, &log);
        assertFound("LOST: w1 of x=1 through f1, answered at 5 ms is not in the log of the primary of that time");
    }

    /** Guards against overlooking reads of a former primary. */
    void readThatMissesACommitIsStale()
    {
        acknowledge("w1", 1);
        acknowledge("w2", 2);
        m_check.readAnswered("r1", "x", m_check.required("x"), 1);
        assertFound("STALE: r1 of x found 1, acknowledged before it was sent: 2");
    }

    /** Guards against counting each lost commit once more for every read. */
    void readThatMissesALostCommitIsNotStale()
    {
        acknowledge("w1", 1);
        acknowledge("w2", 2);
        const auto required = m_check.required("x");
        m_check.leads("b", {"w1"});
        m_check.readAnswered("r1", "x", required, 1);
        CPPUNIT_ASSERT_EQUAL(1, m_check.findings());
    }

    /** Guards against overlooking a write that was sent again. */
    void commitInTheLogTwiceIsFound()
    {
        m_check.ended({"w1", "w2", "w1"});
        assertFound("TWICE: w1 is in the log twice");
    }

    /** Guards against overlooking a refusal as not run that is not true. */
    void refusedWriteInTheLogIsFound()
    {
        m_check.writeRefused({"w1", "x", 1, "f1", 5});
        m_check.ended({"w1"});
        assertFound("REFUSED: w1 of x=1 through f1, answered at 5 ms was refused as not run, and is in the log");
    }

private:
    void acknowledge(const std::string &id, std::uint64_t number)
    {
        m_check.writeAcknowledged({id, "x", number, "f1", 5}, nullptr);
    }

    void assertFound(const std::string &finding)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_findings.size());
        CPPUNIT_ASSERT_EQUAL(finding, m_findings.front());
    }

    record_check m_check;
    std::vector<std::string> m_findings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_check_test);
