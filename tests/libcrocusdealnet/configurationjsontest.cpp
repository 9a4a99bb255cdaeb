#include "configurationjson.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace crocusdeal;

namespace
{

constexpr const char *validService = R"({
    // A comment is allowed.
    "service": "orders", "group": "g1",
    "targets": [
        {"id": "t1", "address": "127.0.0.1:5001", "data_centre": "a"},
        {"id": "t2", "address": "[::1]:5002", "data_centre": "b"}
    ],
    "limits": {"connections": 15, "slots": 2},
    "writes": {"confirm": "primary"},
    "reads": {"max_staleness_ms": 50, "stale_tables": {"balances": 30000}},
    "drained": ["t2"]
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string joined(const std::vector<settings_problem> &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += toString(problem) + '\n';
    }
    return text;
}

bool names(const std::vector<settings_problem> &problems, const std::string &key, const std::string &part)
{
    return std::any_of(problems.begin(), problems.end(), [&](const settings_problem &problem) {
        return problem.file == "f.json" && problem.key == key && problem.message.find(part) != std::string::npos;
    });
}

service_file serviceFile(const std::string &name, const std::string &text)
{
    auto parsed = parseServiceFile(text, name);
    CPPUNIT_ASSERT_MESSAGE(joined(parsed.problems), parsed.value);
    return *parsed.value;
}

}

class configuration_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_json_test);
    CPPUNIT_TEST(readsEveryKeyAndWritesItBack);
    CPPUNIT_TEST(gathersAllProblemsInOneRun);
    CPPUNIT_TEST(namesSingleProblems);
    CPPUNIT_TEST(findsContradictionsBetweenServices);
    CPPUNIT_TEST(daemonAcceptsNewerKeys);
    CPPUNIT_TEST(survivesMalformedText);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a setting that is accepted and then lost on the way to the instances. */
    void readsEveryKeyAndWritesItBack()
    {
        const auto file = serviceFile("f.json", validService);
        const auto &service = file.configuration;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, service.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("::1"), service.targets[1].host);
        CPPUNIT_ASSERT(service.writes.confirm == confirm_mode::Primary);
        CPPUNIT_ASSERT(service.queue == (queue_settings{duration{2000}, duration{200}}));
        CPPUNIT_ASSERT(file.statesDrained);

        fleet_configuration fleet;
        fleet.version = 7;
        fleet.services.emplace(service.service, service);
        fleet.recentChanges = {"c1", "c2"};
        const auto reread = parseFleetConfiguration(toJson(fleet), 7, configuration_reader::Command);
        CPPUNIT_ASSERT_MESSAGE(joined(reread.problems), reread.value == fleet);
        CPPUNIT_ASSERT(serviceFile("f.json", toJson(service)).configuration == service);
    }

    /** Guards against an operator having to run the check once for each mistake. */
    void gathersAllProblemsInOneRun()
    {
        auto text = replaced(validService, R"("service")", R"("servise")");
        text = replaced(text, R"("127.0.0.1:5001")", "5001");
        text = replaced(text, R"("connections": 15)", R"("connections": 0)");
        text = replaced(text, R"("max_staleness_ms")", R"("max_stalenes_ms")");
        const auto problems = parseServiceFile(text, "f.json").problems;
        CPPUNIT_ASSERT_MESSAGE(joined(problems), names(problems, "servise", "did you mean \"service\""));
        CPPUNIT_ASSERT_MESSAGE(joined(problems), names(problems, "service", "missing"));
        CPPUNIT_ASSERT_MESSAGE(joined(problems), names(problems, "targets[0].address", "string expected, got 5001"));
        CPPUNIT_ASSERT_MESSAGE(joined(problems), names(problems, "limits.connections", "from 1 to"));
        CPPUNIT_ASSERT_MESSAGE(joined(problems),
                               names(problems, "reads.max_stalenes_ms", "did you mean \"max_staleness_ms\""));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(joined(problems), std::size_t{5}, problems.size());
    }

    /** Guards against a mistake that passes the check and takes effect. */
    void namesSingleProblems()
    {
        struct mistake {
            const char *from;
            const char *to;
            const char *key;
            const char *part;
        };
        const mistake mistakes[] = {
            {R"("id": "t1")", R"("id": "t2")", "targets[1].id", "same id"},
            {"[::1]:5002", "127.0.0.1:5001", "targets[1].address", "same address"},
            {"127.0.0.1:5001", "127.0.0.1:70000", "targets[0].address", "host:port"},
            {R"("slots": 2)", R"("slots": 16)", "limits.slots", "at most limits.connections"},
            {R"("slots": 2)", R"("slots": 2.5)", "limits.slots", "whole number"},
            {R"(["t2"])", R"(["t3"])", "drained[0]", "one of the targets"},
            {R"(["t2"])", R"(["t1", "t2"])", "drained", "not drained"},
            {R"("confirm": "primary")", R"("confirm": "none")", "writes.confirm", "\"replica\", \"primary\""},
            {R"("balances": 30000)", R"("balances": -1)", "reads.stale_tables.balances", "from 0"},
            {R"("group": "g1")", R"("group": "g 1")", "group", "name of 1 to 63"},
            {R"("group": "g1")", R"("group": "g1", "group": "g2")", "group", "twice"},
        };
        for (const auto &mistake : mistakes) {
            const auto problems = parseServiceFile(replaced(validService, mistake.from, mistake.to), "f.json").problems;
            CPPUNIT_ASSERT_MESSAGE(std::string(mistake.to) + "\n" + joined(problems),
                                   problems.size() == 1 && names(problems, mistake.key, mistake.part));
        }
    }

    /** Guards against two services that send the traffic of one group to different databases. */
    void findsContradictionsBetweenServices()
    {
        const auto first = serviceFile("a.json", validService);
        const auto check = [&](const std::string &text) {
            return checkServicesTogether({first, serviceFile("f.json", text)});
        };
        const auto second = replaced(validService, "\"orders\"", "\"pickups\"");
        CPPUNIT_ASSERT(check(second).empty());
        CPPUNIT_ASSERT(names(check(validService), "service", "already defined in a.json"));
        CPPUNIT_ASSERT(names(check(replaced(second, "5001", "5003")), "targets", "the same targets expected"));
        CPPUNIT_ASSERT(names(check(replaced(second, "15", "14")), "limits", "the same limits expected"));
        const auto problems = check(replaced(second, "g1", "g2"));
        CPPUNIT_ASSERT(names(problems, "targets[0].id", "already belongs to group g1"));
        CPPUNIT_ASSERT(names(problems, "targets[1].address", "already belongs to group g1"));
    }

    /** Guards against older instances that reject what a newer command publishes during a roll-out. */
    void daemonAcceptsNewerKeys()
    {
        const std::string text = R"({"services": [], "newer": 1})";
        CPPUNIT_ASSERT(parseFleetConfiguration(text, 1, configuration_reader::Daemon).value);
        CPPUNIT_ASSERT(!parseFleetConfiguration(text, 1, configuration_reader::Command).value);
    }

    /** Guards against a crash on, or acceptance of, a file cut short at any byte. */
    void survivesMalformedText()
    {
        const std::string text = validService;
        for (std::size_t length = 0; length + 1 < text.size(); ++length) {
            const auto parsed = parseServiceFile(text.substr(0, length), "f.json");
            CPPUNIT_ASSERT(!parsed.value && !parsed.problems.empty());
        }
        const auto problems = parseServiceFile("{\n  \"service\" 1}", "f.json").problems;
        CPPUNIT_ASSERT_MESSAGE(joined(problems), names(problems, "", "line 2, column 13"));
        CPPUNIT_ASSERT(!parseServiceFile("[]", "f.json").value);
    }

    /** Guards against examples in the documentation that the program refuses. */
    void examplesAreValid()
    {
        std::vector<service_file> files;
        const std::filesystem::path directory = std::string(CROCUSDEAL_BINARY_DIR) + "/../docs/examples";
        for (const char *name : {"co-operative/crocusdeal.json", "clubs/records.crocusdeal.json"}) {
            std::ostringstream text;
            text << std::ifstream(directory / name).rdbuf();
            files.push_back(serviceFile(name, text.str()));
        }
        const auto problems = checkServicesTogether(files);
        CPPUNIT_ASSERT_MESSAGE(joined(problems), problems.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_json_test);
