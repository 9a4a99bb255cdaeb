#include "putresolution.h"

#include "platformanswer.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

/** Below this an attempt is hardly answered, so no further one is made. */
constexpr duration minStep{20};
constexpr backoff_settings retryDelays{duration{50}, duration{1000}};

}

put_resolution::put_resolution(platform_client &client,
                               update change,
                               clock::time_point deadline,
                               platform_client::put_callback callback,
                               platform_client::change_check check)
    : m_client(client)
    , m_update(std::move(change))
    , m_deadline(deadline)
    , m_callback(std::move(callback))
    , m_check(std::move(check))
    , m_backoff(retryDelays)
    , m_random(std::random_device()())
{
}

void put_resolution::start()
{
    attempt();
}

/** A third of the time that is left, so that a lost answer leaves time to read back and to repeat. */
duration put_resolution::stepLimit() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - clock::now());
    return std::max(duration{left.count()} / 3, minStep);
}

void put_resolution::attempt()
{
    const auto self = shared_from_this();
    m_client.put(m_update.key, m_update.ifVersion, m_update.value, stepLimit(), [self](const put_result &result) {
        self->onPut(result);
    });
}

void put_resolution::onPut(const put_result &result)
{
    if (result.outcome == put_outcome::Stored) {
        m_callback(result);
        return;
    }
    if (result.outcome == put_outcome::Unknown) {
        m_answerLost = true;
    }
    if (!m_answerLost) {
        m_callback(result);
        return;
    }
    // A conflict or a refusal after a lost answer may stem from the attempt whose answer was lost.
    readBack();
}

void put_resolution::readBack()
{
    const auto self = shared_from_this();
    m_client.get(m_update.key, stepLimit(), [self](const auto &result) { self->onRead(result); });
}

void put_resolution::onRead(const platform_result<platform_object> &result)
{
    if (result.value) {
        compare(*result.value);
    } else if (result.failure.error == platform_error::Stopped || clock::now() >= m_deadline) {
        giveUp(result.failure);
    } else {
        later(&put_resolution::readBack);
    }
}

void put_resolution::compare(const platform_object &object)
{
    const auto storedVersion = m_update.ifVersion + 1;
    if (object.version <= m_update.ifVersion) {
        // The lost update may still be on its way; the condition on the version lets only one of the two take effect.
        clock::now() >= m_deadline ? giveUp({platform_error::AnswerLost, {}, "not in force when read back"})
                                   : later(&put_resolution::attempt);
        return;
    }
    if (object.version == storedVersion && isSameJson(object.value, m_update.value)) {
        m_callback({put_outcome::Stored, storedVersion, {}});
        return;
    }
    auto contained = m_check ? m_check(object) : std::nullopt;
    if (object.version == storedVersion) {
        contained = false;
    }
    if (!contained) {
        giveUp({platform_error::AnswerLost, {}, "changed again by others before it was read back"});
    } else if (*contained) {
        m_callback({put_outcome::Stored, storedVersion, {}});
    } else {
        m_callback({put_outcome::Conflict, object.version, {}});
    }
}

void put_resolution::later(void (put_resolution::*step)())
{
    const auto self = shared_from_this();
    const auto delay = m_backoff.next(std::uniform_real_distribution<>()(m_random));
    m_client.runLater(delay, [self, step] { (self.get()->*step)(); });
}

void put_resolution::giveUp(const platform_failure &failure)
{
    m_callback({put_outcome::Unknown, 0, failure});
}

}
