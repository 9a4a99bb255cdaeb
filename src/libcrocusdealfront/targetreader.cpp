#include "targetreader.h"

#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration askInterval{500};

}

target_reader::target_reader(front_context &context)
    : m_context(context)
{
}

void target_reader::tick(time_point now)
{
    if (m_isStopped || !isStoreAway()) {
        m_heardAt = never;
        return;
    }
    if (m_askedAt != never && now - m_askedAt < askInterval) {
        return;
    }
    if (const auto link = nextLink()) {
        ask(link, now);
    }
}

std::shared_ptr<relay_link> target_reader::nextLink() const
{
    const auto usable = links();
    const auto found =
        std::find_if(usable.begin(), usable.end(), [this](const auto &link) { return link->peer().id != m_unhelpful; });
    if (found != usable.end()) {
        return *found;
    }
    return usable.empty() ? nullptr : usable.front();
}

void target_reader::ask(const std::shared_ptr<relay_link> &link, time_point now)
{
    m_askedAt = now;
    m_unhelpful = link->peer().id;
    const auto asked = services();
    link->askTargets(asked,
                     [self = shared_from_this(), question = ++m_question, asked, now](const target_answer &answer) {
                         if (question == self->m_question && !self->m_isStopped) {
                             self->handleAnswer(asked, answer, now);
                         }
                     });
}

void target_reader::handleAnswer(const std::vector<service_id> &asked, const target_answer &answer, time_point askedAt)
{
    if (!answer.isCurrent || !isStoreAway()) {
        return;
    }
    if (m_heardAt == never) {
        m_context.log.info("targets_from_peer")
            .field("peer", m_unhelpful->str())
            .field("ms", (systemNow() - askedAt).ms)
            .field("revision", static_cast<std::int64_t>(answer.revision));
    }
    m_unhelpful.reset();
    onPeerAnswer(asked, answer, std::exchange(m_heardAt, askedAt));
}

void target_reader::stop()
{
    m_isStopped = true;
}

}
