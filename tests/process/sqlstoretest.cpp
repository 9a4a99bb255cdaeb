#include "database/sqlstore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <sys/syscall.h>
#include <unistd.h>

using namespace crocusdeal;

namespace
{

std::atomic<int> syncs = 0;

}

// SQLite calls these instead of those of the C library.
extern "C" int fsync(int descriptor)
{
    ++syncs;
    return static_cast<int>(syscall(SYS_fsync, descriptor));
}

extern "C" int fdatasync(int descriptor)
{
    ++syncs;
    return static_cast<int>(syscall(SYS_fdatasync, descriptor));
}

class sql_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sql_store_test);
    CPPUNIT_TEST(buildsAndClosesWithoutSync);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a database that stands still while others write to the disk: one that drops the end of its log
     * builds a new store, and closes the old one.
     */
    void buildsAndClosesWithoutSync()
    {
        syncs = 0;
        auto store = std::make_shared<sql_store>();
        CPPUNIT_ASSERT_EQUAL(0, syncs.load());
        {
            sql_connection connection(store);
            connection.run("CREATE TABLE t (id bigint PRIMARY KEY)");
            connection.run("INSERT INTO t VALUES (1)");
        }
        store.reset();
        CPPUNIT_ASSERT_EQUAL(0, syncs.load());
        CPPUNIT_ASSERT_MESSAGE("the test does not see syncs", seesSyncs());
    }

private:
    /** A database with the settings that SQLite begins with does wait for the disk. */
    static bool seesSyncs()
    {
        const sql_store store;
        const auto path = store.path() + "-control";
        sqlite3 *handle = nullptr;
        sqlite3_open(path.c_str(), &handle);
        sqlite3_exec(handle, "CREATE TABLE t (id bigint)", nullptr, nullptr, nullptr);
        sqlite3_close(handle);
        return syncs > 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sql_store_test);
