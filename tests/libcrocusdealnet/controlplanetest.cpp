#include "controlplane.h"

#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

time_point steadyNow()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

bool eventually(const std::function<bool()> &holds, duration limit = 10_s)
{
    const auto end = steadyNow() + limit;
    while (steadyNow() < end) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return holds();
}

std::size_t liveMembers(const std::shared_ptr<control_plane> &plane)
{
    const auto members = plane->members();
    return static_cast<std::size_t>(
        std::count_if(members->begin(), members->end(), [](const member_info &m) { return m.isLive(); }));
}

/** Control planes on loopback over one context with two threads. */
class loopback_fleet
{
public:
    loopback_fleet()
        : m_work(m_context.get_executor())
    {
        for (int i = 0; i < 2; ++i) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }

    ~loopback_fleet()
    {
        for (const auto &plane : planes) {
            plane->stop();
        }
        m_work.reset();
        for (auto &thread : m_threads) {
            thread.join();
        }
        // Their sockets and timers belong to the context.
        planes.clear();
    }

    loopback_fleet(const loopback_fleet &) = delete;
    loopback_fleet &operator=(const loopback_fleet &) = delete;

    std::shared_ptr<control_plane> add(const std::string &id)
    {
        control_plane_settings settings;
        settings.self.id = instance_id(id);
        settings.self.dataCentre = data_centre_id("dc-" + std::to_string(planes.size() % 2));
        settings.self.controlAddress = "127.0.0.1:0";
        settings.randomSeed = planes.size() + 1;
        if (!planes.empty()) {
            settings.seeds = {planes.front()->controlAddress()};
        }
        control_plane_hooks hooks;
        hooks.now = steadyNow;
        hooks.onFact = [this](const database_fact &fact, time_point) {
            const std::lock_guard lock(m_mutex);
            m_facts.push_back(fact);
        };
        hooks.onRequest = [](const instance_id &from, const std::string &bytes, const auto &reply) {
            reply(from.str() + " said " + bytes);
        };
        auto plane = control_plane::create(m_context, settings, hooks);
        const auto error = plane->start();
        CPPUNIT_ASSERT(!error.has_value());
        planes.push_back(plane);
        return plane;
    }

    std::size_t factCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_facts.size();
    }

    std::vector<std::shared_ptr<control_plane>> planes;

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<database_fact> m_facts;
};

}

class control_plane_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_plane_test);
    CPPUNIT_TEST(fiveInstancesJoinShareAndPart);
    CPPUNIT_TEST(garbageIsCountedAndDropped);
    CPPUNIT_TEST(addressInUseIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against wiring faults between sockets and decisions: join, configuration, facts, requests, leave, death.
     */
    void fiveInstancesJoinShareAndPart()
    {
        loopback_fleet fleet;
        for (int i = 0; i < 5; ++i) {
            fleet.add("i" + std::to_string(i));
        }
        const auto &planes = fleet.planes;
        CPPUNIT_ASSERT(eventually([&] {
            return std::all_of(planes.begin(), planes.end(), [](const auto &p) { return liveMembers(p) == 5; });
        }));

        planes[1]->offerConfiguration(3, std::string(1'000'000, 'c'));
        CPPUNIT_ASSERT(eventually([&] {
            return std::all_of(planes.begin(), planes.end(), [](const auto &p) {
                return p->configurationVersion() == 3 && p->isReady();
            });
        }));
        const auto watchers =
            std::count_if(planes.begin(), planes.end(), [](const auto &p) { return p->shouldWatchPlatform(); });
        CPPUNIT_ASSERT(watchers >= 2 && watchers <= 4);

        database_fact fact;
        fact.group = group_id("orders");
        fact.target = target_id("orders-1");
        fact.status.term = 2;
        fact.status.role = target_role::Primary;
        planes[2]->offerFact(fact);
        CPPUNIT_ASSERT(eventually([&] { return fleet.factCount() == 4; }));

        std::promise<std::optional<std::string>> answered;
        planes[0]->request(instance_id("i4"), "hello", 2_s, [&](std::optional<std::string> response) {
            answered.set_value(std::move(response));
        });
        const auto answer = answered.get_future().get();
        CPPUNIT_ASSERT(answer == "i0 said hello");

        planes[3]->leave();
        CPPUNIT_ASSERT(eventually([&] { return liveMembers(planes[0]) == 4; }));
        planes[4]->stop();
        CPPUNIT_ASSERT(eventually([&] { return liveMembers(planes[0]) == 3; }, 15_s));
        std::promise<bool> refused;
        planes[0]->request(
            instance_id("i4"), "hello", 1_s, [&](const auto &response) { refused.set_value(!response); });
        CPPUNIT_ASSERT(refused.get_future().get());
    }

    /** Guards against a receiver that stops, or keeps connections, after input of no instance. */
    void garbageIsCountedAndDropped()
    {
        loopback_fleet fleet;
        const auto plane = fleet.add("i0");
        const auto address = plane->controlAddress();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        asio::io_context context;
        asio::ip::udp::socket udp(context, asio::ip::udp::v4());
        const auto loopback = asio::ip::address_v4::loopback();
        udp.send_to(asio::buffer(std::string("\x01garbage")), asio::ip::udp::endpoint(loopback, port));
        udp.send_to(asio::buffer(std::string(1300, 'x')), asio::ip::udp::endpoint(loopback, port));
        asio::ip::tcp::socket tcp(context);
        tcp.connect(asio::ip::tcp::endpoint(loopback, port));
        asio::write(tcp, asio::buffer(std::string("\xff\xff\xff\xff\x01\x00 too long", 15)));
        char byte = 0;
        std::error_code error;
        tcp.read_some(asio::buffer(&byte, 1), error);
        CPPUNIT_ASSERT(error);
        CPPUNIT_ASSERT(eventually([&] { return plane->health().malformed == 3; }));

        fleet.add("i1");
        CPPUNIT_ASSERT(eventually([&] { return liveMembers(plane) == 2; }));
    }

    /** Guards against an instance that runs without its control address. */
    void addressInUseIsReported()
    {
        loopback_fleet fleet;
        const auto first = fleet.add("i0");
        asio::io_context context;
        control_plane_settings settings;
        settings.self.id = instance_id("i1");
        settings.self.controlAddress = first->controlAddress();
        control_plane_hooks hooks;
        hooks.now = steadyNow;
        CPPUNIT_ASSERT(control_plane::create(context, settings, hooks)->start().has_value());
        settings.self.controlAddress = "no address";
        CPPUNIT_ASSERT(control_plane::create(context, settings, hooks)->start().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_plane_test);
