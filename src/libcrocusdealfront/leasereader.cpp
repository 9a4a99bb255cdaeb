#include "leasereader.h"

#include "systemclock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration ownAnswerLimit{100}; // The store may be silent; another instance is asked beside it then.
constexpr duration readLimit{200};
constexpr duration peerAnswerLimit{250};
constexpr duration searchLimit{600}; // Until an attempt ends for which no instance has an answer.
constexpr duration linkPollInterval{30}; // Links are opened only now, on sites that have none.
constexpr duration linksKeptFor{5000};

}

struct lease_reader::waiting_read {
    update_handler done; ///< Null once it was called.
    deadline_queue::handle limit = 0;
};

struct lease_reader::attempt {
    std::function<void()> done; ///< Null once it was called.
    bool isOwnPending = false;
    bool isAsking = false;
    bool isVain = false; ///< No other instance has an answer.
    time_point askingSince = never;
    std::set<instance_id> asked;
    std::uint64_t question = 0; ///< Answers to earlier ones are not heard.
    deadline_queue::handle timer = 0;
};

lease_reader::lease_reader(front_context &context)
    : m_context(context)
{
}

void lease_reader::read(update_handler done)
{
    if (isStoreAway()) {
        promotion_lease_list_update update;
        update.failure = store_failure::Unreachable;
        done(update);
        return;
    }
    const auto one = std::make_shared<waiting_read>();
    one->done = std::move(done);
    one->limit = m_context.deadlines.scheduleAfter(readLimit, [one] {
        one->limit = 0;
        promotion_lease_list_update update;
        update.failure = store_failure::Unreachable;
        if (const auto handler = std::exchange(one->done, nullptr)) {
            handler(update);
        }
    });
    m_waiting.push_back(one);
    if (m_readingSince == never) {
        beginReading();
    }
}

void lease_reader::beginReading()
{
    m_readingSince = systemNow();
    readStore([self = shared_from_this(), served = std::exchange(m_waiting, {})](
                  const promotion_lease_list_update &update) { self->endReading(served, update); });
}

void lease_reader::endReading(const std::vector<std::shared_ptr<waiting_read>> &served,
                              const promotion_lease_list_update &update)
{
    m_readingSince = never;
    for (const auto &one : served) {
        m_context.deadlines.cancel(one->limit);
        if (const auto handler = std::exchange(one->done, nullptr)) {
            handler(update);
        }
    }
    std::erase_if(m_waiting, [](const auto &one) { return !one->done; });
    if (!m_waiting.empty() && m_readingSince == never && !m_isStopped) {
        beginReading(); // Those that came meanwhile want an answer that was asked for later.
    }
}

bool lease_reader::isStoreSilent(time_point now) const
{
    return m_readingSince != never && now - m_readingSince >= ownAnswerLimit;
}

void lease_reader::refresh(std::function<void()> done)
{
    if (!links) {
        read([done = std::move(done)](const promotion_lease_list_update &) { done(); });
        return;
    }
    const auto current = std::make_shared<attempt>();
    current->done = std::move(done);
    m_attempt = current;
    if (isStoreAway() || isStoreSilent(systemNow())) {
        beginAsking(current);
        return;
    }
    current->isOwnPending = true;
    current->timer = m_context.deadlines.scheduleAfter(ownAnswerLimit, [self = shared_from_this(), current] {
        current->timer = 0;
        self->beginAsking(current);
    });
    read([self = shared_from_this(), current](const promotion_lease_list_update &update) {
        self->handleOwn(current, update);
    });
}

void lease_reader::handleOwn(const std::shared_ptr<attempt> &current, const promotion_lease_list_update &update)
{
    current->isOwnPending = false;
    if (!current->done) {
        return;
    }
    if (update.failure == store_failure::None || current->isVain) {
        finish(current);
    } else if (!current->isAsking) {
        beginAsking(current);
    }
}

void lease_reader::beginAsking(const std::shared_ptr<attempt> &current)
{
    if (!current->done || m_isStopped || std::exchange(current->isAsking, true)) {
        return;
    }
    current->askingSince = systemNow();
    m_wantedAt = current->askingSince;
    seekLinks();
    askNext(current);
}

std::shared_ptr<relay_link> lease_reader::nextLink(const attempt &current) const
{
    std::shared_ptr<relay_link> best;
    for (const auto &link : links()) {
        const auto &id = link->peer().id;
        if (current.asked.contains(id)) {
            continue;
        }
        if (id == m_lastPeer) {
            return link;
        }
        best = best ? best : link;
    }
    return best;
}

void lease_reader::askNext(const std::shared_ptr<attempt> &current)
{
    m_context.deadlines.cancel(current->timer);
    ++current->question;
    if (!current->done || m_isStopped) {
        return;
    }
    if (const auto link = nextLink(*current)) {
        ask(current, link);
        return;
    }
    if (systemNow() - current->askingSince >= searchLimit) {
        giveUp(current);
        return;
    }
    current->timer = m_context.deadlines.scheduleAfter(linkPollInterval, [self = shared_from_this(), current] {
        current->timer = 0;
        self->askNext(current);
    });
}

void lease_reader::ask(const std::shared_ptr<attempt> &current, const std::shared_ptr<relay_link> &link)
{
    const auto peer = link->peer().id;
    const auto question = current->question;
    const auto askedAt = systemNow();
    current->asked.insert(peer);
    current->timer = m_context.deadlines.scheduleAfter(peerAnswerLimit, [self = shared_from_this(), current] {
        current->timer = 0;
        self->askNext(current);
    });
    link->askLeases(
        [self = shared_from_this(), current, peer, question, askedAt](const std::optional<lease_answer> &answer) {
            if (question == current->question) {
                self->handleAnswer(current, peer, askedAt, answer);
            }
        });
}

void lease_reader::handleAnswer(const std::shared_ptr<attempt> &current,
                                const instance_id &peer,
                                time_point askedAt,
                                const std::optional<lease_answer> &answer)
{
    if (!current->done) {
        return;
    }
    if (!answer || !answer->isRead) {
        m_lastPeer = m_lastPeer == peer ? std::nullopt : m_lastPeer;
        askNext(current);
        return;
    }
    m_lastPeer = peer;
    m_context.metrics.leasesAsked("answered");
    m_context.log.info("lease_from_peer")
        .field("peer", peer.str())
        .field("ms", (systemNow() - askedAt).ms)
        .field("revision", static_cast<std::int64_t>(answer->revision));
    promotion_lease_list_update update;
    update.entries = answer->entries;
    update.revision = answer->revision;
    onPeerAnswer(update, askedAt);
    finish(current);
}

void lease_reader::giveUp(const std::shared_ptr<attempt> &current)
{
    m_context.metrics.leasesAsked("vain");
    m_context.log.warn("lease_peers_vain")
        .field("asked", static_cast<std::int64_t>(current->asked.size()))
        .field("ms", (systemNow() - current->askingSince).ms);
    current->isVain = true;
    if (!current->isOwnPending) {
        finish(current);
    }
}

void lease_reader::finish(const std::shared_ptr<attempt> &current)
{
    m_context.deadlines.cancel(current->timer);
    if (const auto done = std::exchange(current->done, nullptr)) {
        done();
    }
}

bool lease_reader::areLinksWanted(time_point now) const
{
    return isStoreAway() || (m_wantedAt != never && now - m_wantedAt < linksKeptFor);
}

void lease_reader::stop()
{
    m_isStopped = true;
    if (m_attempt) {
        m_context.deadlines.cancel(m_attempt->timer);
        m_attempt->done = nullptr; // Who asked may be gone when an answer comes.
    }
}

}
