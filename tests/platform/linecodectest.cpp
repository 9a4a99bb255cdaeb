#include "linecodec.h"
#include "objectdecoding.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <random>

using namespace crocusdeal;
using namespace crocusdeal::platform;

class line_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_codec_test);
    CPPUNIT_TEST(readsStatementsOfCallers);
    CPPUNIT_TEST(refusesWhatCallersMayNotSay);
    CPPUNIT_TEST(keepsTheTextUnchanged);
    CPPUNIT_TEST(lineEndsAtBothItsCharacters);
    CPPUNIT_TEST(rowsOfTargetsMayHoldLineFeeds);
    CPPUNIT_TEST(boundsTheLengthOfAMessage);
    CPPUNIT_TEST(survivesArbitraryBytes);
    CPPUNIT_TEST(readsAnswersOfTargets);
    CPPUNIT_TEST(readsTheReportOfATarget);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a statement that is taken for one of another kind. */
    void readsStatementsOfCallers()
    {
        CPPUNIT_ASSERT(parseStatement("BEGIN").kind == statement_kind::Begin);
        CPPUNIT_ASSERT(parseStatement("BEGIN READ").kind == statement_kind::BeginRead);
        CPPUNIT_ASSERT(parseStatement("READ 1a4").kind == statement_kind::Read);
        CPPUNIT_ASSERT(parseStatement("WRITE 1a4 x y").kind == statement_kind::Write);
        const auto prepare = parseStatement("PREPARE s1 WRITE q2c d");
        CPPUNIT_ASSERT(prepare.kind == statement_kind::Prepare && prepare.preparedEffect == effect::Write);
        CPPUNIT_ASSERT_EQUAL(std::string("q2c d"), prepare.argument);
        const auto execute = parseStatement("EXECUTE s1 1a4 data with blanks");
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), execute.name);
        CPPUNIT_ASSERT_EQUAL(std::string("1a4 data with blanks"), execute.argument);
        CPPUNIT_ASSERT(parseStatement("DEALLOCATE s1").kind == statement_kind::Deallocate);
    }

    /** Guards against callers that reach the control statements of a target, or smuggle a position. */
    void refusesWhatCallersMayNotSay()
    {
        for (const char *text : {"",
                                 "STATUS",
                                 "PAUSE 9",
                                 "RESUME",
                                 "STEPDOWN 9",
                                 "DISCARD",
                                 "AFTER 1.2 READ 1",
                                 "READ",
                                 "COMMIT now",
                                 "BEGIN WRITE",
                                 "PREPARE s1 DROP x",
                                 "SET a",
                                 "EXECUTE s1",
                                 "read 1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, parseStatement(text).kind == statement_kind::Malformed);
        }
    }

    /** Guards against UNASKED: the text that a target runs is the caller's. */
    void keepsTheTextUnchanged()
    {
        caller_line_codec callers;
        caller_message message;
        std::size_t used = 0;
        const std::string line = "QUERY 5c0e WRITE 1a4  two blanks \r\n";
        CPPUNIT_ASSERT(callers.decode(line, used, message) == decode_status::Decoded);
        CPPUNIT_ASSERT_EQUAL(line.size(), used);
        const auto &request = std::get<caller_request>(message);
        std::string out;
        target_line_codec().addStatement(out, request.id, position{3, 1207}, request.what.text);
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 WRITE 1a4  two blanks \r\n"), out);
    }

    /** Guards against UNASKED: data of a caller with a line feed, and what follows it runs as another statement. */
    void lineEndsAtBothItsCharacters()
    {
        const std::string head = "QUERY c1 WRITE note data";
        const std::string smuggled = "QUERY c2 WRITE balance 0";
        for (const auto &separator :
             {std::string("\n"), std::string("\r"), std::string(1, '\0'), std::string("\n\r")}) {
            std::string text = head;
            text.append(separator).append(smuggled);
            const auto line = text + "\r\n";
            caller_message message;
            std::size_t used = 0;
            CPPUNIT_ASSERT(caller_line_codec().decode(line, used, message) == decode_status::Malformed);
            CPPUNIT_ASSERT_EQUAL(line.size(), used);
            CPPUNIT_ASSERT(!target_line_codec().canCarry(text));
        }
        caller_message message;
        std::size_t used = 0;
        CPPUNIT_ASSERT(caller_line_codec().decode(head + "\n", used, message) == decode_status::Incomplete);
        CPPUNIT_ASSERT(caller_line_codec().decode(head + "\r", used, message) == decode_status::Incomplete);
        CPPUNIT_ASSERT(target_line_codec().canCarry(head));
    }

    /** Guards against MIXED: a row that is cut at a line feed, and what follows it read as another message. */
    void rowsOfTargetsMayHoldLineFeeds()
    {
        const std::string line = "DATAROW one\nCOMPLETE 7.1\r\n";
        target_message message;
        std::size_t used = 0;
        CPPUNIT_ASSERT(target_line_codec().decode(line, used, message) == decode_status::Decoded);
        CPPUNIT_ASSERT_EQUAL(line.size(), used);
        CPPUNIT_ASSERT(std::get<target_row>(message).text == "one\nCOMPLETE 7.1");
        std::string out;
        caller_line_codec().addRow(out, std::get<target_row>(message).text);
        CPPUNIT_ASSERT_EQUAL(line, out);
    }

    /** Guards against unbounded memory for a line that never ends. */
    void boundsTheLengthOfAMessage()
    {
        caller_line_codec callers;
        caller_message message;
        std::size_t used = 0;
        const std::string endless(1126400, 'x');
        CPPUNIT_ASSERT(callers.decode(endless, used, message) == decode_status::TooLarge);
        CPPUNIT_ASSERT(callers.decode("QUERY 5c0e REA", used, message) == decode_status::Incomplete);
    }

    /** Guards against crashes, and against a decoder that takes bytes without making progress. */
    void survivesArbitraryBytes()
    {
        CPPUNIT_ASSERT(rc::check("any bytes", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            const std::string alphabet =
                "QUERY STARTUP READY DATAROW ERROR BUSY 1.2 I T E - AFTER\r\n\xff" + std::string(1, '\0');
            std::string bytes;
            for (std::size_t i = random() % 300; i > 0; --i) {
                bytes.push_back(alphabet[random() % alphabet.size()]);
            }
            drain(bytes, [](std::string_view rest, std::size_t &used) {
                caller_message message;
                return caller_line_codec().decode(rest, used, message);
            });
            drain(bytes, [](std::string_view rest, std::size_t &used) {
                target_message message;
                return target_line_codec().decode(rest, used, message);
            });
            target_line_codec().decodeReport(bytes);
        }));
    }

    /** Guards against answers whose code or position is lost. */
    void readsAnswersOfTargets()
    {
        target_line_codec targets;
        target_message message;
        std::size_t used = 0;
        targets.decode("ERROR READONLY i-7f3a91c2\r\n", used, message);
        CPPUNIT_ASSERT(std::get<target_error>(message).code == error_code::ReadOnly);
        targets.decode("READY E 3.1209\r\n", used, message);
        CPPUNIT_ASSERT(std::get<target_ready>(message).state == transaction_state::Failed);
        CPPUNIT_ASSERT(std::get<target_ready>(message).at == (position{3, 1209}));
        targets.decode("READY I -\r\n", used, message);
        CPPUNIT_ASSERT(!std::get<target_ready>(message).at);
        targets.decode("ERROR NEVERHEARD x\r\n", used, message);
        CPPUNIT_ASSERT(std::get<target_error>(message).code == error_code::Other);
    }

    /** Guards against taking the term for which a target is paused for the term of its data. */
    void readsTheReportOfATarget()
    {
        const auto report = target_line_codec().decodeReport("replica 3 3.1209 4 12 2 17");
        CPPUNIT_ASSERT(report && !report->isPrimary && report->term == 3 && report->isPaused());
        CPPUNIT_ASSERT(report->received == (position{3, 1209}) && report->pausedTerm == 4 && report->connections == 17);
        CPPUNIT_ASSERT(!target_line_codec().decodeReport("replica 3"));
    }

private:
    template<typename Decode>
    static void drain(std::string_view bytes, const Decode &decode)
    {
        while (!bytes.empty()) {
            std::size_t used = 0;
            const auto status = decode(bytes, used);
            if (status == decode_status::Incomplete || status == decode_status::TooLarge) {
                return;
            }
            RC_ASSERT(used > 0 && used <= bytes.size());
            bytes.remove_prefix(used);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_codec_test);

class object_decoding_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_decoding_test);
    CPPUNIT_TEST(readsAnEntry);
    CPPUNIT_TEST(ignoresEntriesOfOtherWriters);
    CPPUNIT_TEST(readsTheConfiguration);
    CPPUNIT_TEST(readsWorkspaces);
    CPPUNIT_TEST(leavesOutBadWorkspaces);
    CPPUNIT_TEST(parseProblemsQuoteNothing);
    CPPUNIT_TEST(refusesWhatIsNoConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a field read under another meaning. */
    void readsAnEntry()
    {
        std::string problem;
        const auto entry = decodeTarget("i-1", good(), problem);
        CPPUNIT_ASSERT(entry && entry->isDraining && entry->claimsPrimary && !entry->isWarmingUp);
        CPPUNIT_ASSERT(entry->slots == 3 && entry->incarnation == 17 && entry->dataCentre == data_centre_id("addis-a"));
    }

    /** Guards against an entry that names no target and still gets work, or ends the process. */
    void ignoresEntriesOfOtherWriters()
    {
        const std::vector<std::pair<const char *, nlohmann::json>> changes{{"service", 7},
                                                                           {"address", "nowhere"},
                                                                           {"address", nullptr},
                                                                           {"state", "resting"},
                                                                           {"state", 1},
                                                                           {"db_role", "king"},
                                                                           {"slots", "3"},
                                                                           {"slots", 0},
                                                                           {"slots", 2.5},
                                                                           {"zone", nlohmann::json::array()},
                                                                           {"born", "today"}};
        for (const auto &[key, value] : changes) {
            auto spec = good();
            spec[key] = value;
            std::string problem;
            CPPUNIT_ASSERT_MESSAGE(key, !decodeTarget("i-1", spec, problem));
            CPPUNIT_ASSERT(!problem.empty());
        }
        std::string problem;
        CPPUNIT_ASSERT(!decodeTarget("i-1", nullptr, problem));
        // A name that ends the start-up of a connection would let what follows it run as a statement.
        CPPUNIT_ASSERT(!decodeTarget("i-1\r\nQUERY - PAUSE 9", good(), problem));
        auto smuggling = good();
        smuggling["service"] = "svc\nQUERY - PAUSE 9";
        CPPUNIT_ASSERT(!decodeTarget("i-1", smuggling, problem));
        CPPUNIT_ASSERT(!decodeTarget("i-1", "text", problem));
    }

    /** Guards against routes under the wrong name or with a weaker guarantee than asked for. */
    void readsTheConfiguration()
    {
        const auto spec = nlohmann::json::parse(R"({"config_version": 7, "routes": [
            {"name": "r", "host": "lepu", "route_type": "bounded_staleness", "timeout_ms": 800, "priority": 1,
             "target_latency_ms": 150, "service": "huvo", "max_staleness_ms": 1500},
            {"name": "q", "host": "fiti", "route_type": "something new", "service": "huvo"}],
            "services": [{"name": "huvo", "max_connections": 46, "sync_replicas": 1}], "limits": {"tx_idle_ms": 2000}})");
        std::string problem;
        const auto configuration = decodeConfiguration(spec, problem);
        CPPUNIT_ASSERT(configuration && configuration->version == 7);
        CPPUNIT_ASSERT(configuration->routes.at("lepu").readConsistency == consistency::BoundedStaleness);
        CPPUNIT_ASSERT(configuration->routes.at("fiti").readConsistency == consistency::Primary);
        CPPUNIT_ASSERT_EQUAL(46, configuration->services.at(service_id("huvo")).maxConnections);
        CPPUNIT_ASSERT(configuration->transactionIdleTimeout == duration{2000});
    }

    /** Guards against a workspace without its keys or limit, and against a public route that asks for a key. */
    void readsWorkspaces()
    {
        auto spec = configurationWith(R"([{"name": "miny", "api_keys": ["one", "two"], "priority": 1,
            "rate_per_s": 16.5, "burst": 16}, {"name": "lepu", "api_keys": []}])");
        spec["routes"][0]["public"] = true;
        std::string problem;
        const auto configuration = decodeConfiguration(spec, problem);
        CPPUNIT_ASSERT(configuration && configuration->workspaces && configuration->problems.empty());
        const auto *found = configuration->workspaces->ofKey(*access_key_digest::of("two"));
        CPPUNIT_ASSERT(found != nullptr && found->name == workspace_id("miny"));
        CPPUNIT_ASSERT(found->limit == (rate_limit{16.5, 16}));
        CPPUNIT_ASSERT(!configuration->workspaces->find(workspace_id("lepu"))->limit);
        CPPUNIT_ASSERT(configuration->routes.at("fiti").isPublic);
        spec.erase("tenants");
        CPPUNIT_ASSERT(!decodeConfiguration(spec, problem)->workspaces);
    }

    /** Guards against a bad workspace that holds up the other parts of a version, and against a key in a message. */
    void leavesOutBadWorkspaces()
    {
        const std::map<std::string, std::string> cases{
            {R"([{"name": "", "api_keys": ["k3y-a"]}])", "tenants[0].name"},
            {R"([{"api_keys": ["k3y-a"]}])", "tenants[0].name"},
            {R"([{"name": "two words", "api_keys": ["k3y-a"]}])", "tenants[0].name"},
            {R"([{"name": "a", "api_keys": "k3y-a"}])", "tenants[0].api_keys"},
            {R"([{"name": "a", "api_keys": ["k3y-a", 17, ["k3y-b"], ""]}])", "tenants[0].api_keys[1]"},
            {R"([{"name": "a", "api_keys": ["k3y-a"]}, {"name": "b", "api_keys": ["k3y-a"]}])", "stands twice"},
            {R"([{"name": "a", "api_keys": ["k3y-a", "k3y-a"]}])", "stands twice"},
            {R"([{"name": "a", "rate_per_s": "much"}])", "tenants[0].rate_per_s"},
            {R"(["k3y-a"])", "tenants[0]"},
            {R"("k3y-a")", "tenants"}};
        for (const auto &[tenants, expected] : cases) {
            std::string problem;
            const auto configuration = decodeConfiguration(configurationWith(tenants), problem);
            CPPUNIT_ASSERT_MESSAGE(tenants, configuration && configuration->routes.size() == 1);
            CPPUNIT_ASSERT_MESSAGE(tenants, configuration->workspaces && !configuration->problems.empty());
            std::string all;
            for (const auto &text : configuration->problems) {
                all += text + '\n';
            }
            CPPUNIT_ASSERT_MESSAGE(all, all.find(expected) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(all, all.find("k3y") == std::string::npos);
        }
        const auto twice = R"([{"name": "a", "api_keys": ["k3y-a", "k3y-c"]}, {"name": "b", "api_keys": ["k3y-a"]}])";
        std::string problem;
        const auto configuration = decodeConfiguration(configurationWith(twice), problem);
        CPPUNIT_ASSERT(configuration->workspaces->ofKey(*access_key_digest::of("k3y-a")) == nullptr);
        CPPUNIT_ASSERT(configuration->workspaces->ofKey(*access_key_digest::of("k3y-c")) != nullptr);
    }

    /** Guards against a configuration that cannot be parsed and whose keys get into the log. */
    void parseProblemsQuoteNothing()
    {
        configuration_update update;
        takeConfigurationObject(R"({"meta":{"name":"main"},"spec":{"tenants":[{"api_keys":["k3y-a" "k3y-b"]}]}})",
                                update);
        CPPUNIT_ASSERT(!update.configuration);
        CPPUNIT_ASSERT_MESSAGE(update.detail, update.detail.find("k3y") == std::string::npos);
    }

    /** Guards against a broken object that replaces the configuration in force. */
    void refusesWhatIsNoConfiguration()
    {
        std::string problem;
        CPPUNIT_ASSERT(!decodeConfiguration(nullptr, problem));
        CPPUNIT_ASSERT(!decodeConfiguration({{"config_version", 3}}, problem));
        CPPUNIT_ASSERT(!decodeConfiguration({{"config_version", "3"}, {"routes", nlohmann::json::array()}}, problem));
    }

private:
    static nlohmann::json configurationWith(const std::string &tenants)
    {
        auto spec =
            nlohmann::json::parse(R"({"config_version": 7, "services": [{"name": "huvo", "max_connections": 46}],
            "routes": [{"name": "q", "host": "fiti", "route_type": "primary", "service": "huvo"}]})");
        spec["tenants"] = nlohmann::json::parse(tenants);
        return spec;
    }

    static nlohmann::json good()
    {
        return nlohmann::json::parse(R"({"service": "huvo", "address": "10.1.0.9:80", "zone": "addis-a", "slots": 3,
            "config_version": "v1", "state": "draining", "warmup_left_ms": 0, "db_role": "primary", "sequence": 4,
            "born": 17})");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_decoding_test);
