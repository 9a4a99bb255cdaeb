#include "cluster.h"
#include "heldport.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

using namespace crocusdeal;
using namespace std::chrono_literals;

class cluster_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cluster_test);
    CPPUNIT_TEST(portOfAnInstanceThatStartsLaterIsNotDrawnAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an instance that finds its address in use, since another test has drawn the same port. */
    void portOfAnInstanceThatStartsLaterIsNotDrawnAgain()
    {
        cluster_options options;
        options.instances = 1;
        options.spareInstances = 1;
        cluster tested(options);
        CPPUNIT_ASSERT(!isPortFree(SOCK_STREAM, tested.callerPort(1)));
        tested.startInstance(1);
        CPPUNIT_ASSERT(tested.waitUntilServing(1, 30s));
        CPPUNIT_ASSERT(tested.isReady(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_test);
