#include "objectstore.h"

#include "cannedserver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

using namespace crocusdeal;
using namespace crocusdeal::test;

namespace
{

std::string goodEntry(const std::string &id)
{
    return R"({"meta":{"name":")" + id
        + R"(","revision":7},"spec":{"service":"huvo","address":"10.1.0.9:80","zone":"addis-a","slots":3,)"
          R"("config_version":"v1","state":"ready","warmup_left_ms":0,"db_role":"replica","sequence":4,"born":17},)"
          R"("status":null})";
}

/** A good entry whose @p field has the value @p text instead. */
std::string entryWith(const std::string &id, const std::string &field, const std::string &text)
{
    auto entry = goodEntry(id);
    const auto key = '"' + field + "\":";
    const auto start = entry.find(key) + key.size();
    const auto end = entry.find_first_of(",}", start);
    return entry.replace(start, end - start, text);
}

std::string listOf(const std::vector<std::string> &items, bool hasMore = false)
{
    std::string body = R"({"items":[)";
    for (const auto &item : items) {
        body += (body.back() == '[' ? "" : ",") + item;
    }
    return body + R"(],"more":)" + (hasMore ? "true" : "false") + R"(,"store_revision":530})";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

bool hasEntry(const target_update &update, const std::string &id)
{
    return std::any_of(
        update.entries.begin(), update.entries.end(), [&](const target_entry &entry) { return entry.id.str() == id; });
}

}

class object_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_store_test);
    CPPUNIT_TEST(oddEntryHidesNoOther);
    CPPUNIT_TEST(oddEntryEndsNoPaging);
    CPPUNIT_TEST(oddEventRemovesItsTargetOnly);
    CPPUNIT_TEST(anyBytesAsOneEntryHideNoOther);
    CPPUNIT_TEST(oddObjectBesideTheConfigurationHidesItNot);
    CPPUNIT_TEST(oddLeaseRecordHidesNoOther);
    CPPUNIT_TEST(budgetHoldersAreRead);
    CPPUNIT_TEST(waitingWatchHoldsUpNoReadingOfLeases);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The clients see the end of their connections and let go of them. */
    void tearDown() override
    {
        m_deadlines.cancelAll();
        m_io.restart();
        m_io.run_for(std::chrono::milliseconds(50));
        m_deadlines.cancelAll();
    }

    /** Guards against an entry of another writer that ends the process, or hides all targets. */
    void oddEntryHidesNoOther()
    {
        const std::vector<std::string> oddEntries{
            entryWith("m-odd", "slots", "1e999"),
            entryWith("m-odd", "slots", "4294967299"),
            entryWith("m-odd", "slots", "99999999999999999999999999"),
            entryWith("m-odd", "slots", "-3"),
            entryWith("m-odd", "slots", nested(100000)),
            entryWith("m-odd", "address", "\"10.1.0.9:65536\""),
            entryWith("m-odd", "address", "\"10.1.0.9:0\""),
            entryWith("m-odd", "address", "\"10.1.0.9:-1\""),
            entryWith("m-odd", "address", "\"10.1.0.9:80 or so\""),
            entryWith("m-odd", "address", "8080"),
            entryWith("m-odd", "born", "1e999"),
            entryWith("m-odd", "born", "-4"),
            entryWith("m-odd", "born", "2.5"),
            entryWith("m-odd", "sequence", "\"many\""),
            entryWith("m-odd", "warmup_left_ms", "-1"),
            entryWith("m-odd", "warmup_left_ms", "1e300"),
            entryWith("m-odd", "warmup_left_ms", "{}"),
            entryWith("m-odd", "zone", "\"\xff\xfe\""),
            entryWith("m-odd", "name", "7"),
            entryWith("m-odd", "name", nested(100000)),
            "7",
            "null",
            "[]",
            "\"text\"",
            nested(100000),
            R"({"meta":{"name":"m-odd"}})",
            R"({"meta":7,"spec":8})",
        };
        for (const auto &odd : oddEntries) {
            const auto update = list({listOf({goodEntry("a-1"), odd, goodEntry("z-1")})});
            const auto shown = odd.substr(0, 250);
            CPPUNIT_ASSERT_MESSAGE(shown, update.failure == store_failure::None);
            CPPUNIT_ASSERT_MESSAGE(shown, hasEntry(update, "a-1") && hasEntry(update, "z-1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::size_t{2}, update.entries.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::size_t{1}, update.ignored.size());
        }
    }

    /** Guards against a list that ends at a page whose last entry is odd, so that later targets count as gone. */
    void oddEntryEndsNoPaging()
    {
        const auto odd = entryWith("m-odd", "slots", "1e999");
        const auto nameless = entryWith("m-odd", "name", "7");
        for (const auto &last : {odd, nameless}) {
            const auto update = list({listOf({goodEntry("a-1"), last}, true), listOf({goodEntry("z-1")})});
            CPPUNIT_ASSERT(update.failure == store_failure::None && update.isComplete);
            CPPUNIT_ASSERT(hasEntry(update, "a-1") && hasEntry(update, "z-1"));
        }
        // Without any name to go on from the list is not complete, and no target counts as gone.
        CPPUNIT_ASSERT(list({listOf({nameless}, true)}).failure != store_failure::None);
    }

    /** Guards against a target that keeps getting work after its entry has become unreadable. */
    void oddEventRemovesItsTargetOnly()
    {
        const auto update =
            watch(R"({"events":[{"removed":7,"object":)" + goodEntry("a-1") + R"(},{"removed":false,"object":)"
                  + entryWith("m-odd", "slots", "1e999") + R"(},{"removed":true,"object":)" + goodEntry("k-1")
                  + R"(},{"removed":true,"object":{"meta":8}},7,{"object":)" + nested(100000)
                  + R"(}],"store_revision":533})");
        CPPUNIT_ASSERT(update.failure == store_failure::None && update.revision == 533);
        CPPUNIT_ASSERT(hasEntry(update, "a-1") && update.entries.size() == 1);
        CPPUNIT_ASSERT(update.removed == (std::vector<target_id>{target_id("m-odd"), target_id("k-1")}));
    }

    /** Guards against bytes that end the process or hide other targets; quotes and brackets are balanced by the store.
     */
    void anyBytesAsOneEntryHideNoOther()
    {
        rc::check("any bytes as one string of an entry", [this](const std::string &bytes) {
            std::string text;
            for (const char c : bytes) {
                text += (c == '"' || c == '\\' ? "\\" : "") + std::string(1, c);
            }
            const auto update =
                list({listOf({goodEntry("a-1"), entryWith("m-odd", "zone", '"' + text + '"'), goodEntry("z-1")})});
            RC_ASSERT(update.failure == store_failure::None);
            RC_ASSERT(hasEntry(update, "a-1") && hasEntry(update, "z-1"));
        });
    }

    /** Guards against CONFIG: a foreign object beside the configuration keeps an instance from following it. */
    void oddObjectBesideTheConfigurationHidesItNot()
    {
        const std::string configuration = R"({"meta":{"name":"main"},"spec":{"config_version":9,"routes":[],)"
                                          R"("services":[{"name":"huvo","max_connections":12}]}})";
        for (const auto &odd : {entryWith("other", "slots", "1e999"), nested(100000), std::string("7")}) {
            canned_server server(m_io, {listOf({odd, configuration})});
            platform::object_store store(m_io, m_deadlines, server.address());
            std::optional<configuration_update> update;
            store.readConfiguration(store_reading::Current, [&](configuration_update got) { update = std::move(got); });
            CPPUNIT_ASSERT(runUntil(m_io, [&] { return update.has_value(); }));
            CPPUNIT_ASSERT(update->configuration && update->configuration->version == 9);
        }
    }

    /** Guards against a process that ends at a foreign record among those of the promotion leases. */
    void oddLeaseRecordHidesNoOther()
    {
        const std::string good =
            R"({"meta":{"name":"huvo","revision":8},"spec":{"holder":"front-1","purpose":"settled"}})";
        for (const auto &odd : {std::string(R"({"meta":{"name":"fiti","revision":"x"},"spec":{"holder":7}})"),
                                R"({"meta":{"name":"fiti"},"spec":{"holder":1e999}})" + std::string(),
                                nested(100000)}) {
            canned_server server(m_io, {listOf({odd, good})});
            platform::object_store store(m_io, m_deadlines, server.address());
            std::optional<promotion_lease_list_update> update;
            store.listPromotionLeases([&](promotion_lease_list_update got) { update = std::move(got); });
            CPPUNIT_ASSERT(runUntil(m_io, [&] { return update.has_value(); }));
            CPPUNIT_ASSERT(update->failure == store_failure::None);
            const auto &last = update->entries.back();
            CPPUNIT_ASSERT(last.service == service_id("huvo") && last.revision == 8 && last.holder == "front-1");
        }
    }

    /** Guards against a table that loses names, and against one that is taken from a foreign object. */
    void budgetHoldersAreRead()
    {
        const std::string good =
            R"({"meta":{"name":"main","revision":8},"spec":{"names":{"a":["i1","i2"]},"before":{"b":["i3"]}}})";
        const std::string foreign = R"({"meta":{"name":"other","revision":9},"spec":{"names":7}})";
        const auto table = readHolders(listOf({foreign, good}));
        CPPUNIT_ASSERT(table.failure == store_failure::None && table.table.revision == 8);
        CPPUNIT_ASSERT(table.table.names
                       == (budget_holder_names{{data_centre_id("a"), {instance_id("i1"), instance_id("i2")}}}));
        CPPUNIT_ASSERT(table.table.before == (budget_holder_names{{data_centre_id("b"), {instance_id("i3")}}}));
        CPPUNIT_ASSERT(readHolders(listOf({foreign})).failure == store_failure::NotFound);
        for (const auto &odd : {std::string(R"({"meta":{"name":"main","revision":8},"spec":{"names":{"a":"i1"}}})"),
                                std::string(R"({"meta":{"name":"main","revision":8},"spec":{"names":{"a":[1]}}})"),
                                std::string(R"({"meta":{"name":"main"},"spec":{"names":{},"before":{}}})")}) {
            CPPUNIT_ASSERT(readHolders(listOf({odd})).failure == store_failure::BadAnswer);
        }
    }

    /** Guards against commits that wait for an answer about the leases until the watch of the leases is over. */
    void waitingWatchHoldsUpNoReadingOfLeases()
    {
        canned_server server(m_io, {"", listOf({})});
        platform::object_store store(m_io, m_deadlines, server.address());
        const auto isWatchOver = std::make_shared<bool>(false); // The watch ends after this test.
        store.watchPromotionLeases(
            1, duration{25000}, [isWatchOver](const promotion_lease_list_update &) { *isWatchOver = true; });
        m_io.run_for(std::chrono::milliseconds(50));
        std::optional<promotion_lease_list_update> list;
        store.listPromotionLeases([&](const promotion_lease_list_update &update) { list = update; });
        m_io.restart();
        m_io.run_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(list && list->failure == store_failure::None);
        CPPUNIT_ASSERT(!*isWatchOver);
        m_deadlines.cancelAll();
    }

private:
    budget_holder_update readHolders(const std::string &body)
    {
        canned_server server(m_io, {body});
        platform::object_store store(m_io, m_deadlines, server.address());
        std::optional<budget_holder_update> update;
        store.readBudgetHolders(store_reading::Current, [&](budget_holder_update got) { update = std::move(got); });
        CPPUNIT_ASSERT(runUntil(m_io, [&] { return update.has_value(); }));
        return *update;
    }

    target_update list(std::vector<std::string> bodies)
    {
        canned_server server(m_io, std::move(bodies));
        platform::object_store store(m_io, m_deadlines, server.address());
        std::optional<target_update> update;
        store.listTargets([&](target_update got) { update = std::move(got); });
        CPPUNIT_ASSERT(runUntil(m_io, [&] { return update.has_value(); }));
        return *update;
    }

    target_update watch(const std::string &body)
    {
        canned_server server(m_io, {body});
        platform::object_store store(m_io, m_deadlines, server.address());
        std::optional<target_update> update;
        store.watchTargets(
            530, duration{1000}, store_reading::Current, [&](target_update got) { update = std::move(got); });
        CPPUNIT_ASSERT(runUntil(m_io, [&] { return update.has_value(); }));
        return *update;
    }

    asio::io_context m_io{1};
    deadline_queue m_deadlines{m_io};
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_store_test);
