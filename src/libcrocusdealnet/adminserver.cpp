#include "adminserver.h"

#include "httplibrary.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace crocusdeal
{

namespace
{

constexpr const char *jsonType = "application/json";
constexpr const char *prometheusType = "text/plain; version=0.0.4";

constexpr int badRequest = 400;
constexpr int notImplemented = 501;
constexpr int serviceUnavailable = 503;

/** Enough for a few operators, the load balancer and the collector of metrics at once. */
constexpr std::size_t threads = 4;
/** A connection that sends nothing must not hold one of the threads for long. */
constexpr std::chrono::seconds readTimeout{2};
/** Operators send no bodies. */
constexpr std::size_t maxBody = 4096;

using httplib::Request;
using httplib::Response;

void answer(Response &response, const admin_answer &answer)
{
    response.status = answer.status;
    response.set_content(answer.body, jsonType);
}

void answerError(Response &response, int status, const std::string &reason)
{
    answer(response, {status, nlohmann::json{{"error", reason}}.dump()});
}

std::optional<std::string> optionalParam(const Request &request, const char *key)
{
    return request.has_param(key) ? std::optional<std::string>(request.get_param_value(key)) : std::nullopt;
}

}

class admin_server::implementation
{
public:
    explicit implementation(admin_hooks given)
        : hooks(std::move(given))
    {
        prepareHttpLibrary();
        server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
        server.set_read_timeout(readTimeout);
        server.set_keep_alive_max_count(1);
        server.set_payload_max_length(maxBody);
        addQueries();
        addCommands();
    }

    void addQueries();
    void addCommands();
    void addText(const char *path, const std::function<std::string()> &hook, const char *type);

    admin_hooks hooks;
    httplib::Server server;
    std::thread thread;
    std::atomic<bool> ended{false};
};

void admin_server::implementation::addText(const char *path, const std::function<std::string()> &hook, const char *type)
{
    server.Get(path, [&hook, type](const Request & /*request*/, Response &response) {
        hook ? response.set_content(hook(), type) : answerError(response, notImplemented, "not supported");
    });
}

void admin_server::implementation::addQueries()
{
    server.Get("/ready", [this](const Request & /*request*/, Response &response) {
        const bool ready = hooks.ready && hooks.ready();
        answer(response, {ready ? 200 : serviceUnavailable, ready ? R"({"ready":true})" : R"({"ready":false})"});
    });
    addText("/status", hooks.status, jsonType);
    addText("/metrics", hooks.metrics, prometheusType);
    server.Get("/explain", [this](const Request &request, Response &response) {
        if (!request.has_param("service") || !request.has_param("statement")) {
            answerError(response, badRequest, "parameters service and statement expected");
        } else if (!hooks.explain) {
            answerError(response, notImplemented, "not supported");
        } else {
            answer(response,
                   hooks.explain({request.get_param_value("session"),
                                  request.get_param_value("service"),
                                  request.get_param_value("statement")}));
        }
    });
}

void admin_server::implementation::addCommands()
{
    server.Post("/promote", [this](const Request &request, Response &response) {
        const auto group = optionalParam(request, "group");
        if (!group || group->empty()) {
            answerError(response, badRequest, "parameter group expected");
        } else if (!hooks.promote) {
            answerError(response, notImplemented, "not supported");
        } else {
            answer(response, hooks.promote(*group, optionalParam(request, "target")));
        }
    });
    server.Post("/log-level", [this](const Request &request, Response &response) {
        const auto level = optionalParam(request, "level");
        if (!level || !hooks.setLogLevel || !hooks.setLogLevel(*level)) {
            answerError(response, badRequest, "parameter level expected: trace, debug, info, warn or error");
        } else {
            answer(response, {200, nlohmann::json{{"level", *level}}.dump()});
        }
    });
}

admin_server::admin_server(admin_hooks hooks)
    : m_implementation(std::make_unique<implementation>(std::move(hooks)))
{
}

admin_server::~admin_server()
{
    stop();
}

std::optional<std::uint16_t> admin_server::start(const std::string &host, std::uint16_t port)
{
    auto &server = m_implementation->server;
    const int bound = port == 0 ? server.bind_to_any_port(host) : (server.bind_to_port(host, port) ? port : -1);
    if (bound <= 0) {
        return std::nullopt;
    }
    m_implementation->thread = std::thread([this, &server] {
        server.listen_after_bind();
        m_implementation->ended = true;
    });
    return static_cast<std::uint16_t>(bound);
}

void admin_server::stop()
{
    if (!m_implementation->thread.joinable()) {
        return;
    }
    // A stop before the thread has begun to serve has no effect in the library.
    while (!m_implementation->server.is_running() && !m_implementation->ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    m_implementation->server.stop();
    m_implementation->thread.join();
}

}
