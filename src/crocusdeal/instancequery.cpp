#include "instancequery.h"

#include "httplibrary.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxParallel = 32;

/** Encodes all but the unreserved characters of RFC 3986. */
std::string percentEncoded(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return encoded;
}

std::string withQuery(const std::string &path, const query_parameters &query)
{
    auto target = path;
    char separator = '?';
    for (const auto &[key, value] : query) {
        target += separator + key + '=' + percentEncoded(value);
        separator = '&';
    }
    return target;
}

admin_response send(const host_port &address, const std::string &method, const std::string &path, duration limit)
{
    prepareHttpLibrary();
    const std::chrono::milliseconds time(limit.ms);
    httplib::ClientImpl client(address.host, address.port);
    client.set_connection_timeout(time);
    client.set_read_timeout(time);
    client.set_write_timeout(time);
    // The query is encoded already.
    client.set_url_encode(false);
    httplib::Request request;
    request.method = method;
    request.path = path;
    const auto result = client.send(request);
    if (result) {
        return {result->status, result->body, true, ""};
    }
    const auto error = result.error();
    const bool isSent = error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout;
    return {0, "", isSent, isSent ? "no complete answer" : "unreachable"};
}

instance_status queryOne(const instance_entry &entry, duration limit)
{
    instance_status status{entry, {entry.id, entry.state == instance_state::Leaving, std::nullopt, ""}, ""};
    if (!entry.adminAddress) {
        status.version.failure = "no admin address";
        return status;
    }
    const auto response = adminGet(*entry.adminAddress, "/status", {}, limit);
    const auto value = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200) {
        status.version.failure = response.status == 0 ? response.failure : "status " + std::to_string(response.status);
    } else if (!value.is_object() || value.value("instance", "") != entry.id.str()) {
        status.version.failure = "another program answers at " + toString(*entry.adminAddress);
    } else if (const auto found = value.find("configuration_version");
               found == value.end() || !found->is_number_unsigned()) {
        status.version.failure = "states no configuration version";
    } else {
        status.version.version = found->get<std::uint64_t>();
        status.text = response.body;
    }
    return status;
}

}

admin_response adminGet(const host_port &address,
                        const std::string &path,
                        const query_parameters &query,
                        duration limit)
{
    return send(address, "GET", withQuery(path, query), limit);
}

admin_response adminPost(const host_port &address,
                         const std::string &path,
                         const query_parameters &query,
                         duration limit)
{
    return send(address, "POST", withQuery(path, query), limit);
}

std::vector<instance_status> queryStatus(const std::vector<instance_entry> &instances, duration limit)
{
    std::vector<instance_status> statuses(instances.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (auto i = next++; i < instances.size(); i = next++) {
            statuses[i] = queryOne(instances[i], limit);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(std::min(maxParallel, instances.size()));
    for (std::size_t i = 0; i < std::min(maxParallel, instances.size()); ++i) {
        threads.emplace_back(work);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return statuses;
}

}
