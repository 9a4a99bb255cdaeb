#pragma once

#include "backoff.h"
#include "platformclient.h"

#include <functional>
#include <memory>

namespace crocusdeal
{

struct object_watcher_options {
    duration watchTimeout{30'000}; ///< How long one watch waits for a change.
    backoff_settings retry; ///< Delays after failed watches.
};

/**
 * Keeps watching one platform object through outages.
 *
 * Versions are reported in increasing order, each at most once; versions in between may be skipped.
 */
class object_watcher
{
public:
    using newer_callback = std::function<void(const platform_object &)>;
    using failure_callback = std::function<void(const platform_failure &)>;

    /** @p client must outlive the watcher. */
    object_watcher(platform_client &client, object_key key, object_watcher_options options = {});
    /** Stops; returns when no callback is running. The caller holds no lock that a callback takes. */
    ~object_watcher();
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;

    /** Reports each version above @p after on a thread of the client; @p onFailure each failed watch. */
    void start(std::uint64_t after, newer_callback onNewer, failure_callback onFailure = nullptr);
    /** States that @p version is known from elsewhere, so that older ones are not reported. */
    void skipTo(std::uint64_t version);
    void stop();

private:
    class state;
    std::shared_ptr<state> m_state;
};

}
