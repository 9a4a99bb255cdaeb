#pragma once

#include "backoff.h"
#include "platformclient.h"

#include <chrono>
#include <memory>
#include <random>

namespace crocusdeal
{

/** One update that is repeated and read back until its outcome is known; see platform_client::putResolved(). */
class put_resolution : public std::enable_shared_from_this<put_resolution>
{
public:
    using clock = std::chrono::steady_clock;

    struct update {
        object_key key;
        std::uint64_t ifVersion = 0;
        std::string value;
    };

    /** @p client must outlive the callback. */
    put_resolution(platform_client &client,
                   update change,
                   clock::time_point deadline,
                   platform_client::put_callback callback,
                   platform_client::change_check check);

    void start();

private:
    void attempt();
    void onPut(const put_result &result);
    void readBack();
    void onRead(const platform_result<platform_object> &result);
    void compare(const platform_object &object);
    void later(void (put_resolution::*step)());
    duration stepLimit() const;
    void giveUp(const platform_failure &failure);

    platform_client &m_client;
    update m_update;
    clock::time_point m_deadline;
    platform_client::put_callback m_callback;
    platform_client::change_check m_check;
    backoff m_backoff;
    std::minstd_rand m_random;
    bool m_answerLost = false; ///< An attempt may have taken effect, or may still do so.
};

}
