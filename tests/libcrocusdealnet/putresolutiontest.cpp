#include "platformclient.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <future>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

/** A platform that loses every answer to an update and has the given object when it is read back. */
class lossy_platform
{
public:
    explicit lossy_platform(std::string object)
    {
        constexpr int badGateway = 502;
        m_server.Put(".*", [](const auto & /*request*/, auto &response) { response.status = badGateway; });
        m_server.Get(".*", [object](const auto & /*request*/, auto &response) {
            response.set_content(object, "application/json");
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }
    ~lossy_platform()
    {
        m_server.stop();
        m_thread.join();
    }
    lossy_platform(const lossy_platform &) = delete;
    lossy_platform &operator=(const lossy_platform &) = delete;

    put_result putAtVersion4(const std::string &value, platform_client::change_check check) const
    {
        platform_client client({host_port{"127.0.0.1", static_cast<std::uint16_t>(m_port)}, "", 1, 1});
        std::promise<put_result> done;
        const auto report = [&](put_result result) { done.set_value(std::move(result)); };
        client.putResolved({"config", "services"}, 4, value, 1_s, report, std::move(check));
        return done.get_future().get();
    }

private:
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

}

class put_resolution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(put_resolution_test);
    CPPUNIT_TEST(comparesValueAtTheNextVersion);
    CPPUNIT_TEST(asksTheCheckAtLaterVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against taking another's change for one's own, and against differences in spacing or key order. */
    void comparesValueAtTheNextVersion()
    {
        const lossy_platform platform(R"({"version":5,"value":{"a":1,"b":2}})");
        CPPUNIT_ASSERT(platform.putAtVersion4(R"({"b": 2, "a": 1})", nullptr).outcome == put_outcome::Stored);
        const auto other = platform.putAtVersion4(R"({"b":3})", nullptr);
        CPPUNIT_ASSERT(other.outcome == put_outcome::Conflict && other.version == 5);
    }

    /** Guards against a definite answer when others have changed the object since and nothing tells the changes apart.
     */
    void asksTheCheckAtLaterVersions()
    {
        const lossy_platform platform(R"({"version":7,"value":{"a":1}})");
        CPPUNIT_ASSERT(platform.putAtVersion4(R"({"a":1})", nullptr).outcome == put_outcome::Unknown);
        const auto answer = [](std::optional<bool> contained) {
            return [contained](const platform_object & /*object*/) { return contained; };
        };
        const auto stored = platform.putAtVersion4("1", answer(true));
        CPPUNIT_ASSERT(stored.outcome == put_outcome::Stored && stored.version == 5);
        const auto other = platform.putAtVersion4("1", answer(false));
        CPPUNIT_ASSERT(other.outcome == put_outcome::Conflict && other.version == 7);
        CPPUNIT_ASSERT(platform.putAtVersion4("1", answer(std::nullopt)).outcome == put_outcome::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(put_resolution_test);
