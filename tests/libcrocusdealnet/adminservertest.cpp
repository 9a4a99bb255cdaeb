#include "adminserver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <atomic>

using namespace crocusdeal;

class admin_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admin_server_test);
    CPPUNIT_TEST(answersFromTheHooks);
    CPPUNIT_TEST(refusesIncompleteRequests);
    CPPUNIT_TEST(stopsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an answer of another hook, and against parameters lost or still encoded. */
    void answersFromTheHooks()
    {
        std::atomic<bool> ready{false};
        admin_hooks hooks;
        hooks.ready = [&] { return ready.load(); };
        hooks.status = [] { return std::string(R"({"instance":"i"})"); };
        hooks.metrics = [] { return std::string("m 1\n"); };
        hooks.explain = [](const explain_request &request) {
            return admin_answer{200, request.session + '|' + request.service + '|' + request.statement};
        };
        hooks.promote = [](const std::string &group, const std::optional<std::string> &target) {
            return admin_answer{202, group + '|' + target.value_or("none")};
        };
        hooks.setLogLevel = [](const std::string &level) { return level == "debug"; };
        admin_server server(hooks);
        const int port = server.start("127.0.0.1", 0).value();
        httplib::Client client("127.0.0.1", port);

        CPPUNIT_ASSERT_EQUAL(503, client.Get("/ready")->status);
        ready = true;
        CPPUNIT_ASSERT_EQUAL(200, client.Get("/ready")->status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"instance":"i"})"), client.Get("/status")->body);
        CPPUNIT_ASSERT_EQUAL(std::string("m 1\n"), client.Get("/metrics")->body);
        const httplib::Params params{{"session", "g:1/2"}, {"service", "s"}, {"statement", "SELECT 'a&b' + 1"}};
        CPPUNIT_ASSERT_EQUAL(std::string("g:1/2|s|SELECT 'a&b' + 1"),
                             client.Get("/explain", params, httplib::Headers{})->body);
        CPPUNIT_ASSERT_EQUAL(std::string("g|none"), client.Post("/promote?group=g")->body);
        const auto promoted = client.Post("/promote?group=g&target=t");
        CPPUNIT_ASSERT_EQUAL(202, promoted->status);
        CPPUNIT_ASSERT_EQUAL(std::string("g|t"), promoted->body);
        CPPUNIT_ASSERT_EQUAL(200, client.Post("/log-level?level=debug")->status);
        CPPUNIT_ASSERT_EQUAL(400, client.Post("/log-level?level=loud")->status);
    }

    /** Guards against a promotion of no group, and against a crash for a hook that is not set. */
    void refusesIncompleteRequests()
    {
        admin_server server({});
        httplib::Client client("127.0.0.1", server.start("127.0.0.1", 0).value());
        CPPUNIT_ASSERT_EQUAL(503, client.Get("/ready")->status);
        CPPUNIT_ASSERT_EQUAL(501, client.Get("/status")->status);
        CPPUNIT_ASSERT_EQUAL(400, client.Post("/promote")->status);
        CPPUNIT_ASSERT_EQUAL(400, client.Post("/promote?group=")->status);
        CPPUNIT_ASSERT_EQUAL(501, client.Post("/promote?group=g")->status);
        CPPUNIT_ASSERT_EQUAL(400, client.Get("/explain?service=s")->status);
        CPPUNIT_ASSERT_EQUAL(404, client.Get("/promote?group=g")->status);
    }

    /** Guards against a hang when the daemon ends right after its start, and against an address in use unnoticed. */
    void stopsAtOnce()
    {
        admin_server first({});
        const auto port = first.start("127.0.0.1", 0).value();
        first.stop();
        CPPUNIT_ASSERT(!admin_server({}).start("192.0.2.1", port));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_server_test);
