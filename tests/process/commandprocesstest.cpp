#include "adminserver.h"
#include "platformprocess.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace crocusdeal;

namespace
{

/** Service files in a directory of their own; removed with this object. */
class service_directory
{
public:
    service_directory()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "crocusdeal-test-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    ~service_directory()
    {
        std::filesystem::remove_all(m_path);
    }
    service_directory(const service_directory &) = delete;
    service_directory &operator=(const service_directory &) = delete;

    /** Writes a service of two targets, SERVICE-1 and SERVICE-2; gives the path of its file. */
    std::string write(const std::string &service, int port, int slots) const
    {
        const auto target = [&](int number) {
            return R"({"id": ")" + service + "-" + std::to_string(number) + R"(", "address": "127.0.0.1:)"
                + std::to_string(port + number) + R"(", "data_centre": "a"})";
        };
        const auto path = m_path / service / "crocusdeal.json";
        std::filesystem::create_directories(path.parent_path());
        std::ofstream(path) << R"({"service": ")" << service << R"(", "group": ")" << service << R"(", "targets": [)"
                            << target(1) << ", " << target(2) << R"(], "limits": {"connections": 20, "slots": )"
                            << slots << "}}";
        return path;
    }

    std::string path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

/** The admin interface of an instance whose configuration version the test sets. */
class instance_standin
{
public:
    explicit instance_standin(const std::string &id)
        : m_server(hooks(id))
        , m_port(m_server.start("127.0.0.1", 0).value())
    {
    }

    void setVersion(int version)
    {
        m_version = version;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    admin_hooks hooks(const std::string &id)
    {
        admin_hooks hooks;
        hooks.status = [this, id] {
            return R"({"instance":")" + id + R"(","configuration_version":)" + std::to_string(m_version) + "}";
        };
        hooks.promote = [](const std::string &group, const std::optional<std::string> &target) {
            return admin_answer{group == "orders" ? 200 : 404, group + ' ' + target.value_or("any")};
        };
        hooks.explain = [](const explain_request &request) { return admin_answer{200, request.statement}; };
        return hooks;
    }

    std::atomic<int> m_version{0};
    admin_server m_server;
    std::uint16_t m_port;
};

program_result crocusdealCommand(std::vector<std::string> arguments)
{
    return runProgram("src/crocusdeal/crocusdeal", std::move(arguments));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

void assertResult(int exitCode, const std::string &part, const program_result &result)
{
    const auto all = result.output + result.errors;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, exitCode, result.exitCode);
    CPPUNIT_ASSERT_MESSAGE(part + " not in " + all, contains(all, part));
}

}

class command_process_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_process_test);
    CPPUNIT_TEST(publishesDrainsAndRemoves);
    CPPUNIT_TEST(namesInstancesThatAreBehind);
    CPPUNIT_TEST(lostAnswersAndOutages);
    CPPUNIT_TEST(racingPublishersBothSucceedOrAreTold);
    CPPUNIT_TEST(asksInstances);
    CPPUNIT_TEST(documentsItself);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a publish that drops other services or reverts a drain. */
    void publishesDrainsAndRemoves()
    {
        const platform_process platform;
        const service_directory files;
        files.write("orders", 5000, 2);
        files.write("plans", 5010, 2);
        const auto run = [&](std::vector<std::string> arguments) {
            arguments.insert(arguments.end(), {"--platform", toString(platform.address())});
            return crocusdealCommand(std::move(arguments));
        };
        assertResult(0, "2 service files are correct", crocusdealCommand({"check", files.path()}));
        assertResult(0, "added orders", run({"diff", files.path()}));
        assertResult(0, "version 1 is in force everywhere", run({"publish", files.path()}));
        assertResult(0, "nothing to do", run({"publish", files.path()}));
        assertResult(0, "drained[orders-1]: none -> yes", run({"drain", "orders-1"}));
        assertResult(1, "not drained", run({"drain", "orders-2"}));
        const auto orders = files.write("orders", 5000, 3);
        assertResult(0, "limits.slots: 2 -> 3", run({"publish", orders}));
        assertResult(0, "drained[orders-1]: yes -> none", run({"undrain", "orders-1"}));
        assertResult(0, R"("kind":"removed")", run({"publish", "--remove", "plans", "--json"}));
        assertResult(1, "no such service to remove", run({"publish", "--remove", "plans"}));

        files.write("plans", 5000, 30);
        const auto mistakes = crocusdealCommand({"check", files.path(), "--json"});
        assertResult(1, R"("key":"limits.slots")", mistakes);
        assertResult(1, "limits.slots", run({"publish", files.path()}));
    }

    /** Guards against "in force everywhere" while an instance has an older version or does not answer. */
    void namesInstancesThatAreBehind()
    {
        const platform_process platform;
        const service_directory files;
        files.write("orders", 5000, 2);
        instance_standin current("i1");
        instance_standin late("i2");
        current.setVersion(9);
        platform.putInstance("i1", R"({"admin_address":")" + current.address() + R"("})");
        platform.putInstance("i2", R"({"admin_address":")" + late.address() + R"("})");
        platform.putInstance("i3", R"({"admin_address":"127.0.0.1:1","state":"leaving"})");
        const std::vector<std::string> publish{"publish", files.path(), "--platform", toString(platform.address())};
        auto shortWait = publish;
        shortWait.insert(shortWait.end(), {"--wait-ms", "600"});
        const auto behind = crocusdealCommand(shortWait);
        assertResult(4, "i2: has version 0", behind);
        CPPUNIT_ASSERT(!contains(behind.errors, "i1") && !contains(behind.errors, "i3"));
        assertResult(1, "i2", crocusdealCommand({"status", "--platform", toString(platform.address())}));

        std::thread propagation([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            late.setVersion(1);
        });
        const auto inForce = crocusdealCommand(publish);
        propagation.join();
        assertResult(0, "version 1 is in force everywhere (3 instances)", inForce);
        platform.putInstance("i4", R"({"admin_address":"127.0.0.1:1"})");
        assertResult(4, "i4: unreachable", crocusdealCommand(shortWait));
    }

    /** Guards against "nothing done" for an accepted change, and against a success during an outage. */
    void lostAnswersAndOutages()
    {
        const platform_process platform;
        const service_directory files;
        files.write("orders", 5000, 2);
        const std::vector<std::string> publish{
            "publish", files.path(), "--platform", toString(platform.address()), "--timeout-ms", "1200"};
        platform.setFaults(R"({"drop_answers_after_effect":1})");
        assertResult(0, "version 1 is in force everywhere", crocusdealCommand(publish));
        files.write("orders", 5000, 3);
        platform.setFaults(R"({"outage":true})");
        assertResult(3, "nothing done", crocusdealCommand(publish));
        platform.setFaults(R"({"outage":false})");
        assertResult(0, "version 2 is in force everywhere", crocusdealCommand(publish));
        CPPUNIT_ASSERT(contains(platform.counters(), "\"conflicts\":0"));
    }

    /** Guards against a change of one team that is lost when another publishes at the same time. */
    void racingPublishersBothSucceedOrAreTold()
    {
        const platform_process platform;
        const service_directory files;
        constexpr int publishers = 6;
        std::vector<std::string> paths;
        for (int i = 0; i < publishers; ++i) {
            const auto name = std::string(1, static_cast<char>('a' + i));
            paths.push_back(files.write(name, 5000 + 10 * i, 2));
        }
        platform.setFaults(R"({"delay_ms":50,"drop_answers_after_effect":3})");
        std::vector<program_result> results(publishers);
        std::vector<std::thread> threads;
        threads.reserve(publishers);
        for (int i = 0; i < publishers; ++i) {
            threads.emplace_back([&, i] {
                const auto index = static_cast<std::size_t>(i);
                results[index] = crocusdealCommand({"publish",
                                                    paths[index],
                                                    "--platform",
                                                    toString(platform.address()),
                                                    i < 4 ? "--rebase" : "--json"});
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        platform.setFaults(R"({"delay_ms":0,"drop_answers_after_effect":0})");
        for (int i = 0; i < publishers; ++i) {
            const auto index = static_cast<std::size_t>(i);
            const auto &result = results[index];
            const bool raced = i >= 4 && result.exitCode == 1 && contains(result.output, R"("outcome":"raced")");
            CPPUNIT_ASSERT_MESSAGE(result.output + result.errors, raced || result.exitCode == 0);
            const auto difference =
                crocusdealCommand({"diff", paths[index], "--platform", toString(platform.address())});
            assertResult(0, raced ? "added" : "no changes", difference);
        }
    }

    /** Guards against operators' questions that reach no instance while one can be reached. */
    void asksInstances()
    {
        const platform_process platform;
        const instance_standin instance("i1");
        platform.putInstance("i1", R"({"admin_address":")" + instance.address() + R"("})");
        platform.putInstance("i2", R"({"admin_address":"127.0.0.1:1"})");
        const auto address = toString(platform.address());
        assertResult(0, "orders t1", crocusdealCommand({"promote", "orders", "t1", "--platform", address}));
        assertResult(1, "none any", crocusdealCommand({"promote", "none", "--platform", address}));
        const std::string statement = "SELECT 'a&b' + 1";
        assertResult(
            0, statement, crocusdealCommand({"explain", statement, "--service", "orders", "--platform", address}));
        platform.setFaults(R"({"outage":true})");
        assertResult(3, "--admin", crocusdealCommand({"promote", "orders", "--platform", address}));
        assertResult(0, "orders any", crocusdealCommand({"promote", "orders", "--admin", instance.address()}));
        assertResult(0, R"("instance":"i1")", crocusdealCommand({"status", "--admin", instance.address()}));
    }

    /** Guards against a command without help, and against success for wrong arguments. */
    void documentsItself()
    {
        for (const char *name : {"check", "publish", "diff", "status", "drain", "undrain", "promote", "explain"}) {
            assertResult(0, "not in force everywhere in time", crocusdealCommand({name, "--help"}));
            assertResult(2, "crocusdeal: ", crocusdealCommand({name, "--no-such-option"}));
        }
        assertResult(2, "unknown command", crocusdealCommand({"frobnicate"}));
        assertResult(2, "HOST:PORT expected", crocusdealCommand({"drain", "t", "--platform", "nonsense"}));
        const std::vector<std::string> stray{"--settings", "none.json", "stray"};
        assertResult(2, "positional", runProgram("src/crocusdeald/crocusdeald", stray));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_process_test);
