#include "configurationspread.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

/** Time for the first probes of the seeds to be answered before a peer's configuration counts as the newest reached. */
constexpr duration settleTime = 1_s;
/** A transfer of a megabyte over a slow path; the driver's own timeout is shorter. */
constexpr duration pullTimeout = 5_s;
constexpr duration retryAfterFailure = 1_s;
constexpr duration retryAfterDisproof = 10_s;
constexpr std::int64_t busyRetryMs = 300;
/** Peers get this long before the platform is read, so that a change costs the platform one read per watcher only. */
constexpr duration platformFallback = 3_s;
constexpr std::int64_t platformSpreadMs = 3000;

}

configuration_spread::configuration_spread(std::uint64_t randomSeed)
    : m_random(randomSeed)
{
}

duration configuration_spread::jitter(std::int64_t belowMs)
{
    return {std::uniform_int_distribution<std::int64_t>(0, belowMs - 1)(m_random)};
}

configuration_actions configuration_spread::tick(time_point now)
{
    configuration_actions actions;
    if (m_startedAt == never) {
        m_startedAt = now;
    }
    if (m_pulling && now >= m_pullDeadline) {
        return pullFinished(now, *m_pulling, std::nullopt);
    }
    pullNext(now, actions);
    if (hasNewerClaim() && m_behindSince != never && now - m_behindSince >= platformFallback
        && now >= m_nextPlatformRead) {
        actions.readPlatform = true;
        m_nextPlatformRead = now + platformFallback + jitter(platformSpreadMs);
    }
    updateReady(now);
    return actions;
}

configuration_actions configuration_spread::heard(time_point now,
                                                  const instance_id &peer,
                                                  const std::string &address,
                                                  std::uint64_t version)
{
    configuration_actions actions;
    if (version <= m_history.version()) {
        return actions;
    }
    claim &stated = m_claims[peer];
    if (stated.version != version) {
        stated.disproved = false;
        stated.retryAt = never;
    }
    stated.address = address;
    stated.version = version;
    if (m_behindSince == never) {
        m_behindSince = now;
        // Members fall behind at the same moment; without the spread they would all read the platform together.
        m_nextPlatformRead = now + platformFallback + jitter(platformSpreadMs);
    }
    if (!m_pulling && now >= stated.retryAt) {
        startPull(now, peer, stated, actions);
    }
    return actions;
}

configuration_actions configuration_spread::offer(time_point now, std::uint64_t version, std::string text)
{
    configuration_actions actions;
    m_platformAnswered = true;
    if (version > m_history.version()) {
        accept(now, version, std::move(text), actions);
    }
    updateReady(now);
    return actions;
}

void configuration_spread::accept(time_point now,
                                  std::uint64_t version,
                                  std::string text,
                                  configuration_actions &actions)
{
    m_history.accept(version, std::move(text));
    ++m_counters.applied;
    actions.applied = true;
    std::erase_if(m_claims, [version](const auto &entry) { return entry.second.version <= version; });
    m_behindSince = m_claims.empty() ? never : now;
}

std::optional<std::string> configuration_spread::textOf(const configuration_reply &reply) const
{
    if (reply.baseVersion == 0) {
        return reply.text;
    }
    const auto base = m_history.heldText(reply.baseVersion);
    if (!base) {
        return std::nullopt;
    }
    std::string text = *base;
    for (const auto &change : reply.changes) {
        auto changed = applyTextChange(text, change);
        if (!changed) {
            return std::nullopt;
        }
        text = std::move(*changed);
    }
    return text;
}

configuration_actions configuration_spread::pullFinished(time_point now,
                                                         const instance_id &peer,
                                                         const std::optional<configuration_reply> &reply)
{
    configuration_actions actions;
    if (m_pulling == peer) {
        m_pulling.reset();
    }
    const auto retryAfter = [&](duration delay) {
        if (const auto found = m_claims.find(peer); found != m_claims.end()) {
            found->second.retryAt = now + delay;
        }
    };
    if (!reply) {
        ++m_counters.failedPulls;
        retryAfter(retryAfterFailure);
    } else if (reply->busy) {
        retryAfter(duration{busyRetryMs} + jitter(busyRetryMs));
    } else if (reply->version <= m_history.version()) {
        disprove(now, peer);
    } else {
        auto text = textOf(*reply);
        m_counters.fullTexts += reply->baseVersion == 0 ? 1 : 0;
        if (text && textHash(*text) == reply->hash) {
            accept(now, reply->version, std::move(*text), actions);
            disprove(now, peer);
        } else {
            ++m_counters.badReplies;
            retryAfter(retryAfterFailure);
        }
    }
    pullNext(now, actions);
    updateReady(now);
    return actions;
}

/** A peer's version only moves forward, so a claim above the version that it answered with was false. */
void configuration_spread::disprove(time_point now, const instance_id &peer)
{
    const auto found = m_claims.find(peer);
    if (found != m_claims.end()) {
        found->second.disproved = true;
        found->second.retryAt = now + retryAfterDisproof;
    }
}

void configuration_spread::memberGone(const instance_id &peer)
{
    m_claims.erase(peer);
    if (!hasNewerClaim()) {
        m_behindSince = never;
    }
}

void configuration_spread::pullNext(time_point now, configuration_actions &actions)
{
    if (m_pulling) {
        return;
    }
    auto best = m_claims.end();
    for (auto it = m_claims.begin(); it != m_claims.end(); ++it) {
        const bool due = now >= it->second.retryAt;
        if (due && (best == m_claims.end() || it->second.version > best->second.version)) {
            best = it;
        }
    }
    if (best != m_claims.end()) {
        startPull(now, best->first, best->second, actions);
    }
}

void configuration_spread::startPull(time_point now,
                                     const instance_id &peer,
                                     claim &from,
                                     configuration_actions &actions)
{
    m_pulling = peer;
    m_pullDeadline = now + pullTimeout;
    from.retryAt = now + pullTimeout;
    ++m_counters.pulls;
    actions.pull = pull_configuration{peer, from.address, m_history.heldVersions()};
}

configuration_reply configuration_spread::answer(const std::vector<std::uint64_t> &heldVersions) const
{
    configuration_reply reply;
    reply.version = m_history.version();
    reply.hash = m_history.hash();
    for (const auto held : heldVersions) {
        if (held >= m_history.version()) {
            return reply;
        }
        if (auto changes = m_history.changesSince(held)) {
            reply.baseVersion = held;
            reply.changes = std::move(*changes);
            return reply;
        }
    }
    if (m_history.text()) {
        reply.text = *m_history.text();
    }
    return reply;
}

bool configuration_spread::hasNewerClaim() const
{
    return std::any_of(m_claims.begin(), m_claims.end(), [this](const auto &entry) {
        return !entry.second.disproved && entry.second.version > m_history.version();
    });
}

void configuration_spread::updateReady(time_point now)
{
    const bool settled = m_platformAnswered || (m_startedAt != never && now - m_startedAt >= settleTime);
    m_ready = m_ready || (m_history.version() > 0 && settled && !hasNewerClaim());
}

std::uint64_t configuration_spread::version() const
{
    return m_history.version();
}

const std::shared_ptr<const std::string> &configuration_spread::text() const
{
    return m_history.text();
}

bool configuration_spread::isReady() const
{
    return m_ready;
}

const configuration_counters &configuration_spread::counters() const
{
    return m_counters;
}

}
