#include "objectwatcher.h"

#include <chrono>
#include <mutex>
#include <random>

namespace crocusdeal
{

using steady_clock = std::chrono::steady_clock;

class object_watcher::state : public std::enable_shared_from_this<state>
{
public:
    state(platform_client &client, object_key key, object_watcher_options options)
        : m_client(client)
        , m_key(std::move(key))
        , m_options(options)
        , m_backoff(options.retry)
        , m_random(std::random_device()())
    {
    }

    void start(std::uint64_t after, newer_callback onNewer, failure_callback onFailure);
    void skipTo(std::uint64_t version);
    void stop();

private:
    void watch();
    void onAnswer(const platform_result<platform_object> &result, steady_clock::time_point asked);
    void report(const platform_object &object);
    void retryLater(duration atLeast);

    platform_client &m_client;
    const object_key m_key;
    const object_watcher_options m_options;
    newer_callback m_onNewer;
    failure_callback m_onFailure;
    backoff m_backoff;
    std::minstd_rand m_random;

    /** Held during callbacks, so that stop() returns when none is running; recursive for a stop from a callback. */
    std::recursive_mutex m_callbackMutex;
    std::mutex m_mutex;
    std::uint64_t m_seen = 0;
    bool m_stopped = false;
};

void object_watcher::state::start(std::uint64_t after, newer_callback onNewer, failure_callback onFailure)
{
    m_onNewer = std::move(onNewer);
    m_onFailure = std::move(onFailure);
    skipTo(after);
    watch();
}

void object_watcher::state::skipTo(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_seen = std::max(m_seen, version);
}

void object_watcher::state::stop()
{
    const std::lock_guard callbackLock(m_callbackMutex);
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
}

void object_watcher::state::watch()
{
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        after = m_seen;
    }
    const auto self = shared_from_this();
    const auto asked = steady_clock::now();
    m_client.watch(
        m_key, after, m_options.watchTimeout, [self, asked](const auto &result) { self->onAnswer(result, asked); });
}

void object_watcher::state::onAnswer(const platform_result<platform_object> &result, steady_clock::time_point asked)
{
    const std::lock_guard callbackLock(m_callbackMutex);
    if (!result.value) {
        const bool clientStopped = result.failure.error == platform_error::Stopped;
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = m_stopped || clientStopped;
            if (m_stopped) {
                return;
            }
        }
        if (m_onFailure) {
            m_onFailure(result.failure);
        }
        retryLater(result.failure.retryAfter);
        return;
    }
    report(*result.value);
    // A platform that answers without waiting and without news must not be asked in a tight loop.
    const bool waited = steady_clock::now() - asked >= std::chrono::milliseconds(m_options.watchTimeout.ms) / 2;
    if (result.value->version == 0 || (result.value->value.empty() && !waited)) {
        retryLater({});
        return;
    }
    m_backoff.reset();
    watch();
}

void object_watcher::state::report(const platform_object &object)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped || object.version <= m_seen) {
            return;
        }
        m_seen = object.version;
    }
    m_onNewer(object);
}

void object_watcher::state::retryLater(duration atLeast)
{
    const auto random = std::uniform_real_distribution<>()(m_random);
    const auto delay = std::max(m_backoff.next(random), atLeast);
    const auto self = shared_from_this();
    m_client.runLater(delay, [self] { self->watch(); });
}

object_watcher::object_watcher(platform_client &client, object_key key, object_watcher_options options)
    : m_state(std::make_shared<state>(client, std::move(key), options))
{
}

object_watcher::~object_watcher()
{
    stop();
}

void object_watcher::start(std::uint64_t after, newer_callback onNewer, failure_callback onFailure)
{
    m_state->start(after, std::move(onNewer), std::move(onFailure));
}

void object_watcher::skipTo(std::uint64_t version)
{
    m_state->skipTo(version);
}

void object_watcher::stop()
{
    m_state->stop();
}

}
