#include "platformclient.h"

#include "platformanswer.h"
#include "platformexchange.h"
#include "putresolution.h"
#include "worklane.h"

#include <algorithm>
#include <chrono>

namespace crocusdeal
{

namespace
{

using steady_clock = std::chrono::steady_clock;

/** Time for the answer to a watch beyond the time that the platform itself waits. */
constexpr duration watchMargin{2000};

std::string pathOf(const object_key &key)
{
    return "/v1/objects/" + key.kind + '/' + key.name;
}

duration remaining(steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now());
    return {left.count()};
}

}

std::string toString(const platform_failure &failure)
{
    return std::string(platformErrorNames.name(failure.error))
        + (failure.detail.empty() ? "" : " (" + failure.detail + ")");
}

class platform_client::implementation
{
public:
    using answer_handler = std::function<void(platform_result<http_answer>)>;

    explicit implementation(platform_client_options options)
        : exchange(std::move(options.address), std::move(options.caller))
        , calls(std::max(options.callThreads, 1))
        , watches(std::max(options.watchThreads, 1))
    {
    }

    void stop()
    {
        calls.requestStop();
        watches.requestStop();
        // A call that is only about to connect is not broken off by the first attempt.
        constexpr std::chrono::milliseconds abortInterval{10};
        do {
            exchange.abortCalls();
        } while (!calls.waitIdle(abortInterval) || !watches.waitIdle(abortInterval));
        calls.stop();
        watches.stop();
    }

    void submit(http_call call, duration timeout, answer_handler handler);
    void watch(const object_key &key, std::uint64_t after, duration timeout, answer_handler handler);

    platform_exchange exchange;
    work_lane calls;
    work_lane watches;
};

void platform_client::implementation::submit(http_call call, duration timeout, answer_handler handler)
{
    const auto now = steady_clock::now();
    const auto deadline = now + std::chrono::milliseconds(timeout.ms);
    calls.add(now, [this, call = std::move(call), deadline, handler = std::move(handler)](bool stopped) {
        const auto limit = remaining(deadline);
        if (stopped) {
            handler({std::nullopt, {platform_error::Stopped, {}, ""}});
        } else if (limit.ms <= 0) {
            handler({std::nullopt, {platform_error::Unreachable, {}, "not sent in time"}});
        } else {
            handler(exchange.call(call, limit));
        }
    });
}

void platform_client::implementation::watch(const object_key &key,
                                            std::uint64_t after,
                                            duration timeout,
                                            answer_handler handler)
{
    const auto now = steady_clock::now();
    const auto deadline = now + std::chrono::milliseconds(timeout.ms);
    const auto path = pathOf(key) + "?after=" + std::to_string(after) + "&timeout_ms=";
    watches.add(now, [this, path, deadline, handler = std::move(handler)](bool stopped) {
        const auto wait = remaining(deadline);
        if (stopped) {
            handler({std::nullopt, {platform_error::Stopped, {}, ""}});
        } else if (wait.ms <= 0) {
            handler({std::nullopt, {platform_error::Unreachable, {}, "not sent in time"}});
        } else {
            handler(exchange.call({"GET", path + std::to_string(wait.ms), ""}, wait + watchMargin));
        }
    });
}

platform_client::platform_client(platform_client_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

platform_client::~platform_client()
{
    // Callbacks of the calls that are ended here may still use the client.
    m_implementation->stop();
}

void platform_client::get(const object_key &key, duration timeout, object_callback callback)
{
    m_implementation->submit(
        {"GET", pathOf(key), ""}, timeout, [name = key.name, callback = std::move(callback)](const auto &answer) {
            callback(answer.value ? readObject(*answer.value, name, 0)
                                  : platform_result<platform_object>{std::nullopt, answer.failure});
        });
}

void platform_client::list(const std::string &kind, duration timeout, list_callback callback)
{
    m_implementation->submit(
        {"GET", "/v1/objects/" + kind, ""}, timeout, [callback = std::move(callback)](const auto &answer) {
            callback(answer.value ? readObjects(*answer.value)
                                  : platform_result<std::vector<platform_object>>{std::nullopt, answer.failure});
        });
}

void platform_client::instances(duration timeout, instances_callback callback)
{
    m_implementation->submit(
        {"GET", "/v1/instances", ""}, timeout, [callback = std::move(callback)](const auto &answer) {
            callback(answer.value ? readInstances(*answer.value)
                                  : platform_result<std::vector<instance_entry>>{std::nullopt, answer.failure});
        });
}

void platform_client::put(const object_key &key,
                          std::uint64_t ifVersion,
                          const std::string &value,
                          duration timeout,
                          put_callback callback)
{
    auto body = "{\"if_version\":" + std::to_string(ifVersion) + ",\"value\":" + value + "}";
    m_implementation->submit(
        {"PUT", pathOf(key), std::move(body)}, timeout, [callback = std::move(callback)](const auto &answer) {
            callback(answer.value ? readPut(*answer.value) : readPutFailure(answer.failure));
        });
}

void platform_client::putResolved(const object_key &key,
                                  std::uint64_t ifVersion,
                                  std::string value,
                                  duration timeout,
                                  put_callback callback,
                                  change_check check)
{
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(timeout.ms);
    std::make_shared<put_resolution>(*this,
                                     put_resolution::update{key, ifVersion, std::move(value)},
                                     deadline,
                                     std::move(callback),
                                     std::move(check))
        ->start();
}

void platform_client::watch(const object_key &key, std::uint64_t after, duration timeout, object_callback callback)
{
    m_implementation->watch(
        key, after, timeout, [name = key.name, after, callback = std::move(callback)](const auto &answer) {
            callback(answer.value ? readObject(*answer.value, name, after)
                                  : platform_result<platform_object>{std::nullopt, answer.failure});
        });
}

void platform_client::runLater(duration delay, std::function<void()> task)
{
    m_implementation->calls.add(steady_clock::now() + std::chrono::milliseconds(delay.ms),
                                [task = std::move(task)](bool /*stopped*/) { task(); });
}

}
