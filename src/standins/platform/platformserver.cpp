#include "platformserver.h"

#include "faultboard.h"
#include "growingthreadpool.h"
#include "httplibrary.h"
#include "instanceregistry.h"
#include "objectstore.h"
#include "ratelimit.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <future>
#include <thread>

namespace platform_standin
{

namespace
{

constexpr const char *jsonType = "application/json";
constexpr std::size_t maxValueBytes = std::size_t{1} << 20U;
/** The frame around a value in a request body. */
constexpr std::size_t maxFrameBytes = 4096;
/** A waiting watch holds a thread, so there may be more of them than watches in the largest trial. */
constexpr std::size_t maxThreads = 512;
/** The library's backlog of 5 loses connections when many clients start at once, which costs each a second. */
constexpr int listenBacklog = 1024;
constexpr std::chrono::milliseconds maxWatch{60'000};

using call_handler = std::function<void(const httplib::Request &, httplib::Response &)>;

struct call_counters {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> waitingWatches{0};
    std::atomic<std::uint64_t> overLimit{0};
    std::atomic<std::uint64_t> refusedInOutage{0};
    std::atomic<std::uint64_t> lostCalls{0};
    std::atomic<std::uint64_t> droppedAnswers{0};
    std::atomic<std::uint64_t> conflicts{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0};
};

std::string instanceOf(const httplib::Request &request)
{
    return request.get_header_value("X-Crocusdeal-Instance");
}

void answerError(httplib::Response &response, int status, const std::string &reason)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", reason}}.dump(), jsonType);
}

/** Closes the connection before the answer is complete, which the client sees as a lost answer. */
void loseAnswer(httplib::Response &response)
{
    response.status = 200;
    response.set_content_provider(1, jsonType, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

std::optional<std::uint64_t> numberParam(const httplib::Request &request, const char *key)
{
    const auto text = request.get_param_value(key);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string objectText(const stored_object &object)
{
    return "{\"version\":" + std::to_string(object.version) + ",\"value\":" + object.value + "}";
}

}

class platform_server::implementation
{
public:
    explicit implementation(platform_server_options options);

    int start();
    void stop();

private:
    void addRoutes();
    void addAdminRoutes();
    call_handler guarded(bool isWrite, call_handler handler);
    bool isRefused(const httplib::Request &request, httplib::Response &response, bool isWrite);

    void getObject(const httplib::Request &request, httplib::Response &response);
    void watchObject(const httplib::Request &request, httplib::Response &response);
    void putObject(const httplib::Request &request, httplib::Response &response);
    void listObjects(const httplib::Request &request, httplib::Response &response);
    void listInstances(httplib::Response &response);
    void putInstance(const httplib::Request &request, httplib::Response &response);
    std::string countersText() const;

    platform_server_options m_options;
    object_store m_objects;
    instance_registry m_instances;
    fault_board m_faults;
    rate_limit m_readLimit;
    rate_limit m_writeLimit;
    call_counters m_counters;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_ended{false};
    std::promise<void> m_serving;
    int m_listening = -1;
    httplib::Server m_server;
    std::thread m_thread;
};

platform_server::implementation::implementation(platform_server_options options)
    : m_options(std::move(options))
    , m_readLimit(m_options.readsPerSecond)
    , m_writeLimit(m_options.writesPerSecond)
{
    crocusdeal::prepareHttpLibrary();
    m_server.new_task_queue = [this] {
        auto *pool = new growing_thread_pool(maxThreads);
        m_serving.set_value();
        return pool;
    };
    m_server.set_payload_max_length(maxValueBytes + maxFrameBytes);
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_timeout(1);
    m_server.set_socket_options([this](socket_t socket) {
        httplib::default_socket_options(socket);
        m_listening = socket;
    });
    m_server.set_logger([this](const httplib::Request &request, const httplib::Response &response) {
        m_counters.bytesReceived += request.target.size() + request.body.size();
        m_counters.bytesSent += response.body.size();
    });
    addRoutes();
    addAdminRoutes();
}

int platform_server::implementation::start()
{
    int port = m_options.port;
    if (port == 0) {
        port = m_server.bind_to_any_port(m_options.host);
    } else if (!m_server.bind_to_port(m_options.host, port)) {
        port = 0;
    }
    if (port <= 0) {
        return 0;
    }
    ::listen(m_listening, listenBacklog);
    m_thread = std::thread([this] {
        m_server.listen_after_bind();
        m_ended = true;
    });
    // Starting the threads takes seconds on a busy machine; a client that is told the address must not wait for that.
    m_serving.get_future().wait();
    return port;
}

void platform_server::implementation::stop()
{
    m_stopping = true;
    m_objects.wakeWatches();
    if (!m_thread.joinable()) {
        return;
    }
    // A stop before the thread has begun to serve has no effect in the library.
    while (!m_server.is_running() && !m_ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    m_server.stop();
    m_thread.join();
}

void platform_server::implementation::addRoutes()
{
    const std::string object = "/v1/objects/([^/]+)/([^/]+)";
    m_server.Get(object, guarded(false, [this](const auto &request, auto &response) {
                     request.has_param("after") ? watchObject(request, response) : getObject(request, response);
                 }));
    m_server.Put(object, guarded(true, [this](const auto &request, auto &response) { putObject(request, response); }));
    m_server.Get("/v1/objects/([^/]+)",
                 guarded(false, [this](const auto &request, auto &response) { listObjects(request, response); }));
    m_server.Get("/v1/instances",
                 guarded(false, [this](const auto & /*request*/, auto &response) { listInstances(response); }));
}

/** The platform's own view of the instances, and the control of the stand-in: neither limited nor faulty. */
void platform_server::implementation::addAdminRoutes()
{
    m_server.Put("/v1/instances/([^/]+)",
                 [this](const auto &request, auto &response) { putInstance(request, response); });
    m_server.Delete("/v1/instances/([^/]+)", [this](const auto &request, auto &response) {
        const bool removed = m_instances.remove(request.matches[1], instance_registry::clock::now());
        removed ? response.set_content("{}", jsonType) : answerError(response, 404, "no such instance");
    });
    m_server.Get("/admin/counters",
                 [this](const auto & /*request*/, auto &response) { response.set_content(countersText(), jsonType); });
    m_server.Put("/admin/faults", [this](const auto &request, auto &response) {
        const auto reason = m_faults.update(request.body);
        m_objects.wakeWatches();
        reason ? answerError(response, 400, *reason) : response.set_content("{}", jsonType);
    });
}

call_handler platform_server::implementation::guarded(bool isWrite, call_handler handler)
{
    return [this, isWrite, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        isWrite ? ++m_counters.writes : ++m_counters.reads;
        std::this_thread::sleep_for(m_faults.current().delay);
        if (!isRefused(request, response, isWrite)) {
            handler(request, response);
        }
    };
}

bool platform_server::implementation::isRefused(const httplib::Request &request,
                                                httplib::Response &response,
                                                bool isWrite)
{
    if (m_faults.isCut(instanceOf(request))) {
        ++m_counters.lostCalls;
        loseAnswer(response);
        return true;
    }
    if (m_faults.isOutage()) {
        ++m_counters.refusedInOutage;
        answerError(response, 503, "outage");
        return true;
    }
    auto &limit = isWrite ? m_writeLimit : m_readLimit;
    if (!limit.take(rate_limit::clock::now())) {
        ++m_counters.overLimit;
        response.set_header("Retry-After", "1");
        answerError(response, 429, "rate limit exceeded");
        return true;
    }
    return false;
}

void platform_server::implementation::getObject(const httplib::Request &request, httplib::Response &response)
{
    const auto object = m_objects.get(request.matches[1], request.matches[2]);
    if (object.version == 0) {
        answerError(response, 404, "no such object");
        return;
    }
    response.set_content(objectText(object), jsonType);
}

void platform_server::implementation::watchObject(const httplib::Request &request, httplib::Response &response)
{
    const auto after = numberParam(request, "after");
    const auto timeout = numberParam(request, "timeout_ms");
    if (!after || !timeout) {
        answerError(response, 400, "numbers expected as after and timeout_ms");
        return;
    }
    ++m_counters.watches;
    ++m_counters.waitingWatches;
    const auto instance = instanceOf(request);
    const auto interrupted = [&] { return m_stopping || m_faults.isOutage() || m_faults.isCut(instance); };
    const auto limit =
        std::min(std::chrono::milliseconds(std::min<std::uint64_t>(*timeout, maxWatch.count())), maxWatch);
    const auto object = m_objects.waitAbove(request.matches[1], request.matches[2], *after, limit, interrupted);
    --m_counters.waitingWatches;
    if (m_faults.isCut(instance)) {
        ++m_counters.lostCalls;
        loseAnswer(response);
    } else if (m_stopping || m_faults.isOutage()) {
        answerError(response, 503, "outage");
    } else if (object.version > *after) {
        response.set_content(objectText(object), jsonType);
    } else {
        response.status = 304;
    }
}

void platform_server::implementation::putObject(const httplib::Request &request, httplib::Response &response)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body.contains("if_version")
        || !body["if_version"].is_number_unsigned()) {
        answerError(response, 400, "if_version and value expected");
        return;
    }
    auto value = body["value"].dump();
    if (value.size() > maxValueBytes) {
        answerError(response, 413, "value above 1 MB");
        return;
    }
    const auto [stored, version] = m_objects.put(
        request.matches[1], request.matches[2], body["if_version"].get<std::uint64_t>(), std::move(value));
    m_counters.conflicts += stored ? 0 : 1;
    if (stored && m_faults.takeDroppedAnswer()) {
        ++m_counters.droppedAnswers;
        loseAnswer(response);
        return;
    }
    response.status = stored ? 200 : 409;
    response.set_content(nlohmann::json{{"version", version}}.dump(), jsonType);
}

void platform_server::implementation::listObjects(const httplib::Request &request, httplib::Response &response)
{
    std::string text = "{\"objects\":[";
    const char *separator = "";
    for (const auto &[name, object] : m_objects.list(request.matches[1])) {
        text += separator;
        text += "{\"name\":" + nlohmann::json(name).dump() + ",\"version\":" + std::to_string(object.version)
            + ",\"value\":" + object.value + "}";
        separator = ",";
    }
    response.set_content(text + "]}", jsonType);
}

void platform_server::implementation::listInstances(httplib::Response &response)
{
    std::string text = "{\"instances\":[";
    const char *separator = "";
    for (const auto &entry : m_instances.list(instance_registry::clock::now(), m_faults.current().instanceListLag)) {
        text += separator + entry;
        separator = ",";
    }
    response.set_content(text + "]}", jsonType);
}

void platform_server::implementation::putInstance(const httplib::Request &request, httplib::Response &response)
{
    auto entry = nlohmann::json::parse(request.body, nullptr, false);
    if (!entry.is_object()) {
        answerError(response, 400, "object expected");
        return;
    }
    const std::string id = request.matches[1];
    entry["id"] = id;
    entry.emplace("state", "live");
    for (const char *key : {"caller_address", "control_address", "admin_address", "data_centre"}) {
        entry.emplace(key, "");
    }
    m_instances.put(id, entry.dump(), instance_registry::clock::now());
    response.set_content("{}", jsonType);
}

std::string platform_server::implementation::countersText() const
{
    return nlohmann::json{{"reads", m_counters.reads.load()},
                          {"writes", m_counters.writes.load()},
                          {"watches", m_counters.watches.load()},
                          {"waiting_watches", m_counters.waitingWatches.load()},
                          {"over_limit", m_counters.overLimit.load()},
                          {"refused_in_outage", m_counters.refusedInOutage.load()},
                          {"lost_calls", m_counters.lostCalls.load()},
                          {"dropped_answers", m_counters.droppedAnswers.load()},
                          {"conflicts", m_counters.conflicts.load()},
                          {"bytes_received", m_counters.bytesReceived.load()},
                          {"bytes_sent", m_counters.bytesSent.load()}}
        .dump();
}

platform_server::platform_server(platform_server_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

platform_server::~platform_server()
{
    stop();
}

int platform_server::start()
{
    return m_implementation->start();
}

void platform_server::stop()
{
    m_implementation->stop();
}

}
