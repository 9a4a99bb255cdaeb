#include "platformexchange.h"

#include "httplibrary.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <set>

namespace crocusdeal
{

namespace
{

using steady_clock = std::chrono::steady_clock;

/** abortCalls() waits for a connection that is being opened. */
constexpr std::chrono::milliseconds maxConnect{2000};
constexpr int notModified = 304;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

platform_failure failureOf(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return {platform_error::Unreachable, {}, httplib::to_string(error)};
    default:
        return {platform_error::AnswerLost, {}, httplib::to_string(error)};
    }
}

duration retryAfter(const httplib::Response &response)
{
    constexpr std::int64_t maxSeconds = 60;
    const auto text = response.get_header_value("Retry-After");
    const std::int64_t seconds = std::strtol(text.c_str(), nullptr, 10);
    return duration{std::clamp<std::int64_t>(seconds, 0, maxSeconds) * 1000};
}

platform_result<http_answer> resultOf(const httplib::Response &response)
{
    const auto status = response.status;
    const auto detail = "status " + std::to_string(status);
    if ((status >= 200 && status < 300) || status == notModified || status == notFound || status == conflict) {
        return {http_answer{status, response.body}, {}};
    }
    if (status == serviceUnavailable) {
        return {std::nullopt, {platform_error::Unavailable, retryAfter(response), detail}};
    }
    if (status == tooManyRequests) {
        return {std::nullopt, {platform_error::Throttled, retryAfter(response), detail}};
    }
    if (status >= 400 && status < 500) {
        return {std::nullopt, {platform_error::Refused, {}, detail}};
    }
    // Other statuses, such as 502 of a gateway, do not tell if the call was executed.
    return {std::nullopt, {platform_error::AnswerLost, {}, detail}};
}

}

class platform_exchange::implementation
{
public:
    implementation(host_port address, std::string caller)
        : m_address(std::move(address))
        , m_caller(std::move(caller))
    {
        prepareHttpLibrary();
    }

    platform_result<http_answer> call(const http_call &call, duration limit);
    void abortCalls();

private:
    httplib::Request requestFor(const http_call &call, steady_clock::time_point deadline) const;

    host_port m_address;
    std::string m_caller;
    std::mutex m_mutex;
    std::set<httplib::ClientImpl *> m_active;
};

httplib::Request platform_exchange::implementation::requestFor(const http_call &call,
                                                               steady_clock::time_point deadline) const
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("Accept", "application/json");
    if (!call.body.empty()) {
        request.set_header("Content-Type", "application/json");
    }
    if (!m_caller.empty()) {
        request.set_header("X-Crocusdeal-Instance", m_caller);
    }
    // The library's time limits apply to each read, so that a slow answer could take any time.
    request.progress = [deadline](std::uint64_t, std::uint64_t) { return steady_clock::now() < deadline; };
    return request;
}

platform_result<http_answer> platform_exchange::implementation::call(const http_call &call, duration limit)
{
    const std::chrono::milliseconds time(limit.ms);
    httplib::ClientImpl client(m_address.host, m_address.port);
    client.set_connection_timeout(std::min(time, maxConnect));
    client.set_read_timeout(time);
    client.set_write_timeout(time);
    client.set_tcp_nodelay(true);
    {
        const std::lock_guard lock(m_mutex);
        m_active.insert(&client);
    }
    const auto result = client.send(requestFor(call, steady_clock::now() + time));
    {
        const std::lock_guard lock(m_mutex);
        m_active.erase(&client);
    }
    return result ? resultOf(*result) : platform_result<http_answer>{std::nullopt, failureOf(result.error())};
}

void platform_exchange::implementation::abortCalls()
{
    const std::lock_guard lock(m_mutex);
    for (auto *client : m_active) {
        client->stop();
    }
}

platform_exchange::platform_exchange(host_port address, std::string caller)
    : m_implementation(std::make_unique<implementation>(std::move(address), std::move(caller)))
{
}

platform_exchange::~platform_exchange() = default;

platform_result<http_answer> platform_exchange::call(const http_call &call, duration limit)
{
    return m_implementation->call(call, limit);
}

void platform_exchange::abortCalls()
{
    m_implementation->abortCalls();
}

}
