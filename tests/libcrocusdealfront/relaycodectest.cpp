#include "relaycodec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

using namespace crocusdeal;

namespace
{

relay_run someRun()
{
    relay_run run;
    run.number = 9;
    run.request = {"q1", {statement_kind::Execute, "EXECUTE s1 7 x", "s1", "7 x", effect::Write}};
    run.kind = effect::Write;
    run.prepared = prepared_shape{effect::Write, "shape"};
    run.opens = statement_kind::Begin;
    run.route.database = "lepu";
    run.route.service = service_id("huvo");
    run.route.readConsistency = consistency::ReadYourWrites;
    run.route.statementTimeout = duration{800};
    run.route.latencyObjective = duration{150};
    run.route.priority = 2;
    run.route.maxStaleness = duration{1500};
    run.workspace = workspace_id("miny");
    run.accessDecidedBy = 12;
    run.accessValidFor = duration{900};
    run.ownCommit = position{3, 12};
    run.arrivedAgo = duration{4};
    run.startedAgo = duration{90};
    run.values = {{"mode", "a"}, {"zone", std::string("\0b", 2)}};
    return run;
}

relay_answer someAnswer()
{
    relay_answer answer;
    answer.number = 9;
    answer.reply.rows = {"one", std::string(70000, 'x')};
    answer.reply.signature = "7.1";
    answer.reply.state = transaction_state::Open;
    answer.reply.at = position{3, 13};
    answer.error = error_code::Busy;
    answer.errorText = "queue_time";
    answer.isOpen = true;
    return answer;
}

template<typename Message>
Message throughTheWire(const Message &message)
{
    std::string bytes;
    CPPUNIT_ASSERT(encodeRelay(message, bytes));
    std::size_t used = 0;
    relay_message read;
    for (std::size_t length = 0; length < bytes.size(); length += 1 + length / 3) {
        CPPUNIT_ASSERT(decodeRelay(std::string_view(bytes).substr(0, length), used, read) == decode_status::Incomplete);
    }
    CPPUNIT_ASSERT(decodeRelay(bytes, used, read) == decode_status::Decoded);
    CPPUNIT_ASSERT_EQUAL(bytes.size(), used);
    return std::get<Message>(read);
}

}

class relay_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_codec_test);
    CPPUNIT_TEST(carriesEveryFieldOfARun);
    CPPUNIT_TEST(carriesWhatAnInstanceKnows);
    CPPUNIT_TEST(carriesEveryFieldOfAnAnswer);
    CPPUNIT_TEST(refusesOtherVersionsAndLengths);
    CPPUNIT_TEST(takesWholeMessagesUntilToldToStop);
    CPPUNIT_TEST(skipsKindsOfNewerVersions);
    CPPUNIT_TEST(carriesEvidenceAndHints);
    CPPUNIT_TEST(carriesLeasesAndBudgets);
    CPPUNIT_TEST(carriesTheEntriesOfTargets);
    CPPUNIT_TEST(survivesChangedBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a promotion without the store that misses a commit or a target of another instance. */
    void carriesWhatAnInstanceKnows()
    {
        service_answer answer;
        answer.number = 4;
        answer.knowledge.isStoreAway = true;
        answer.knowledge.primaryAnsweredAgo = duration{40};
        answer.knowledge.committed = {3, 9};
        answer.knowledge.incarnations = {{target_id("a"), 1}, {target_id("b"), 1'790'000'000'000}};
        const auto read = throughTheWire(answer).knowledge;
        CPPUNIT_ASSERT(read.isStoreAway);
        CPPUNIT_ASSERT(read.primaryAnsweredAgo == answer.knowledge.primaryAnsweredAgo);
        CPPUNIT_ASSERT((read.committed == position{3, 9}));
        CPPUNIT_ASSERT(read.incarnations == answer.knowledge.incarnations);
        CPPUNIT_ASSERT(throughTheWire(service_question{4, service_id("svc")}).service == service_id("svc"));
    }

    /** Guards against a field that is lost on the way, such as the position that a read needs. */
    void carriesEveryFieldOfARun()
    {
        const auto sent = someRun();
        const auto read = throughTheWire(sent);
        CPPUNIT_ASSERT(read.number == sent.number && read.request.id == sent.request.id);
        CPPUNIT_ASSERT(read.request.what.text == sent.request.what.text);
        CPPUNIT_ASSERT(read.request.what.kind == sent.request.what.kind);
        CPPUNIT_ASSERT(read.request.what.name == sent.request.what.name);
        CPPUNIT_ASSERT(read.request.what.argument == sent.request.what.argument);
        CPPUNIT_ASSERT(read.request.what.preparedEffect == sent.request.what.preparedEffect);
        CPPUNIT_ASSERT(read.kind == sent.kind && read.prepared == sent.prepared && read.opens == sent.opens);
        CPPUNIT_ASSERT(read.route.database == sent.route.database && read.route.service == sent.route.service);
        CPPUNIT_ASSERT(read.route.readConsistency == sent.route.readConsistency);
        CPPUNIT_ASSERT(read.route.statementTimeout == sent.route.statementTimeout);
        CPPUNIT_ASSERT(read.route.latencyObjective == sent.route.latencyObjective);
        CPPUNIT_ASSERT(read.route.priority == sent.route.priority);
        CPPUNIT_ASSERT(read.route.maxStaleness == sent.route.maxStaleness);
        CPPUNIT_ASSERT(read.workspace == sent.workspace && read.accessDecidedBy == sent.accessDecidedBy);
        CPPUNIT_ASSERT(read.accessValidFor == sent.accessValidFor);
        CPPUNIT_ASSERT(read.ownCommit == sent.ownCommit && read.values == sent.values);
        CPPUNIT_ASSERT(read.arrivedAgo == sent.arrivedAgo && read.startedAgo == sent.startedAgo);
    }

    /** Guards against an answer that arrives with other rows, or without its outcome. */
    void carriesEveryFieldOfAnAnswer()
    {
        const auto sent = someAnswer();
        const auto read = throughTheWire(sent);
        CPPUNIT_ASSERT(read.reply.rows == sent.reply.rows && read.reply.signature == sent.reply.signature);
        CPPUNIT_ASSERT(read.reply.state == sent.reply.state && read.reply.at == sent.reply.at);
        CPPUNIT_ASSERT(read.error == sent.error && read.errorText == sent.errorText && read.isOpen);
    }

    /** Guards against instances of another version that are half understood, and against unbounded buffers. */
    void refusesOtherVersionsAndLengths()
    {
        std::string bytes;
        encodeRelay(relay_ping{1}, bytes);
        std::size_t used = 0;
        relay_message read;
        auto other = bytes;
        other[4] = static_cast<char>(relayProtocolVersion + 1);
        CPPUNIT_ASSERT(decodeRelay(other, used, read) == decode_status::Malformed);
        CPPUNIT_ASSERT(decodeRelay("\xff\xff\xff\xff\x01\x01", used, read) == decode_status::TooLarge);
        CPPUNIT_ASSERT(decodeRelay(std::string_view("\0\0\0\1\1\1", 6), used, read) == decode_status::Malformed);
        relay_answer huge;
        huge.reply.rows.assign(9, std::string(1'000'000, 'x'));
        std::string out;
        CPPUNIT_ASSERT(!encodeRelay(huge, out) && out.empty());
    }

    /** Guards against a link that ends at the first message of a newer version, in the midst of a rolling restart. */
    void skipsKindsOfNewerVersions()
    {
        std::string bytes;
        encodeRelay(relay_ping{1}, bytes);
        const auto end = bytes.size();
        bytes[5] = 99;
        encodeRelay(relay_ping{2}, bytes);
        std::size_t used = 0;
        relay_message read;
        CPPUNIT_ASSERT(decodeRelay(bytes, used, read) == decode_status::Decoded);
        CPPUNIT_ASSERT(std::holds_alternative<relay_unknown>(read));
        CPPUNIT_ASSERT_EQUAL(end, used);
        std::vector<std::uint64_t> numbers;
        CPPUNIT_ASSERT(takeRelayMessages(bytes, [&](relay_message &message) {
            numbers.push_back(std::get<relay_ping>(message).number);
            return true;
        }));
        CPPUNIT_ASSERT(numbers == std::vector<std::uint64_t>{2});
    }

    /** Guards against evidence or hints that reach another instance changed. */
    void carriesEvidenceAndHints()
    {
        relay_pong pong;
        pong.number = 3;
        pong.isStoreAway = true;
        pong.configuration = reported_configuration{7, duration{250}};
        pong.loads = {{target_id("a"), 5, duration{40}, 3, 12.5, true, position{2, 9}},
                      {target_id("b"), 6, duration{0}, 0, 0.25, false, std::nullopt}};
        const auto read = throughTheWire(pong);
        CPPUNIT_ASSERT(read.isStoreAway && !read.isLeaving && read.configuration == pong.configuration);
        CPPUNIT_ASSERT(read.loads == pong.loads);
    }

    /** Guards against a lease or a budget that another instance takes for a different one. */
    void carriesLeasesAndBudgets()
    {
        lease_answer answer;
        answer.number = 2;
        answer.isRead = true;
        answer.revision = 99;
        answer.entries = {{service_id("svc"), "holder", 77, promotion_lease_purpose::Settled, 50}};
        const auto leases = throughTheWire(answer);
        CPPUNIT_ASSERT(leases.isRead && leases.revision == 99 && leases.entries.size() == 1);
        CPPUNIT_ASSERT(leases.entries[0].service == service_id("svc") && leases.entries[0].holder == "holder");
        CPPUNIT_ASSERT(leases.entries[0].revision == 77 && leases.entries[0].openSince == 50U);
        CPPUNIT_ASSERT(leases.entries[0].purpose == promotion_lease_purpose::Settled);
        const std::map<service_id, std::vector<target_id>> named{{service_id("svc"), {target_id("a"), target_id("b")}},
                                                                 {service_id("other"), {}}};
        CPPUNIT_ASSERT(throughTheWire(lease_targets{2, named}).targets == named);
        const auto request = throughTheWire(budget_request{4, workspace_id("w"), 2.5, true});
        CPPUNIT_ASSERT(request.workspace == workspace_id("w") && request.isFromHolder);
        CPPUNIT_ASSERT_EQUAL(2.5, request.wanted);
        const auto grant = throughTheWire(budget_grant{4, 1.5, false, duration{30}});
        CPPUNIT_ASSERT(!grant.isHolder && grant.retryAfter == duration{30});
        CPPUNIT_ASSERT_EQUAL(1.5, grant.granted);
    }

    /** Guards against targets that are taken for others, or for listed, by an instance that the store turns away. */
    void carriesTheEntriesOfTargets()
    {
        const std::vector<service_id> services{service_id("svc"), service_id("other")};
        CPPUNIT_ASSERT(throughTheWire(target_question{3, services}).services == services);
        target_entry entry;
        entry.id = target_id("a");
        entry.service = service_id("svc");
        entry.address = {"127.0.0.1", 5432};
        entry.dataCentre = data_centre_id("here");
        entry.slots = 4;
        entry.isDraining = true;
        entry.incarnation = 17;
        entry.revision = 71;
        auto primary = entry;
        primary.isDraining = false;
        primary.claimsPrimary = true;
        primary.isWarmingUp = true;
        const auto answer = throughTheWire(target_answer{3, true, 72, {entry, primary}});
        CPPUNIT_ASSERT(answer.isCurrent && answer.revision == 72);
        const std::vector<target_entry> expected{entry, primary};
        CPPUNIT_ASSERT(answer.entries == expected);
    }

    /** Guards against a message that ends the process, or asks for memory that it does not fill. */
    void survivesChangedBytes()
    {
        std::string run;
        encodeRelay(someRun(), run);
        std::string answer;
        encodeRelay(someAnswer(), answer);
        rc::check("any bytes changed", [&] {
            auto bytes = *rc::gen::elementOf(std::vector<std::string>{run, answer});
            const auto changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes; ++i) {
                bytes[*rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(bytes.size(), 300))] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            }
            std::size_t used = 0;
            relay_message read;
            if (decodeRelay(bytes, used, read) == decode_status::Decoded) {
                RC_ASSERT(used <= bytes.size());
            }
        });
        rc::check("any bytes", [](const std::string &bytes) {
            std::size_t used = 0;
            relay_message read;
            decodeRelay(bytes, used, read);
        });
    }

    /** Guards against messages that are handled twice, cut, or handled after the connection has ended. */
    void takesWholeMessagesUntilToldToStop()
    {
        std::string bytes;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            CPPUNIT_ASSERT(encodeRelay(relay_ping{number}, bytes));
        }
        const auto part = bytes.substr(0, bytes.size() / 3 - 1);
        bytes += part;
        std::vector<std::uint64_t> taken;
        const auto takeUpTo = [&](std::uint64_t last) {
            return [&taken, last](relay_message &message) {
                taken.push_back(std::get<relay_ping>(message).number);
                return taken.back() < last;
            };
        };
        CPPUNIT_ASSERT(takeRelayMessages(bytes, takeUpTo(2)));
        CPPUNIT_ASSERT(taken == (std::vector<std::uint64_t>{1, 2}));
        CPPUNIT_ASSERT(takeRelayMessages(bytes, takeUpTo(9)));
        CPPUNIT_ASSERT(taken == (std::vector<std::uint64_t>{1, 2, 3}));
        CPPUNIT_ASSERT_EQUAL(part, bytes);
        std::string unreadable(64, '\xff');
        CPPUNIT_ASSERT(!takeRelayMessages(unreadable, takeUpTo(9)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, taken.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_codec_test);
