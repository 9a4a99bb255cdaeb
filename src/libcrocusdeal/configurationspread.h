#pragma once

#include "clock.h"
#include "configurationhistory.h"
#include "identifiers.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** Answer of a peer to a configuration pull. */
struct configuration_reply {
    bool busy = false; ///< The peer serves too many pulls already.
    std::uint64_t version = 0;
    std::uint64_t hash = 0; ///< Of the text of `version`.
    std::uint64_t baseVersion = 0; ///< Version to which `changes` apply; 0 if `text` is the whole configuration.
    std::vector<text_change> changes;
    std::string text;
};

/** Pull of the configuration from a peer over TCP. */
struct pull_configuration {
    instance_id from;
    std::string address;
    std::vector<std::uint64_t> heldVersions;
};

struct configuration_actions {
    std::optional<pull_configuration> pull;
    bool applied = false; ///< A newer version is in force: apply it and tell peers.
    bool readPlatform = false; ///< No peer answers for a newer version; read the platform's object.
};

/** Counters of what the spread of the configuration met. */
struct configuration_counters {
    std::uint64_t applied = 0;
    std::uint64_t pulls = 0;
    std::uint64_t failedPulls = 0;
    std::uint64_t badReplies = 0; ///< Changes that do not fit or a hash that differs.
    std::uint64_t fullTexts = 0;
};

/**
 * Spread of the configuration between instances (design section 5.8).
 *
 * The version only moves forward. A peer that states a newer version is asked for it; when no peer answers for a while
 * the platform is read.
 */
class configuration_spread
{
public:
    explicit configuration_spread(std::uint64_t randomSeed);

    configuration_actions tick(time_point now);
    /** A peer states @p version as in force. */
    configuration_actions heard(time_point now,
                                const instance_id &peer,
                                const std::string &address,
                                std::uint64_t version);
    /** The platform's object was read or its watch returned. */
    configuration_actions offer(time_point now, std::uint64_t version, std::string text);
    /** The pull from @p peer ended; nothing if it failed. */
    configuration_actions pullFinished(time_point now,
                                       const instance_id &peer,
                                       const std::optional<configuration_reply> &reply);
    /** Statements of a member that is gone no longer count. */
    void memberGone(const instance_id &peer);

    /** Answer to a pull of a peer that holds @p heldVersions. */
    configuration_reply answer(const std::vector<std::uint64_t> &heldVersions) const;

    std::uint64_t version() const;
    const std::shared_ptr<const std::string> &text() const;
    /** Whether a version as new as that of every peer reached is in force; stays true once it was. */
    bool isReady() const;
    const configuration_counters &counters() const;

private:
    struct claim {
        std::string address;
        std::uint64_t version = 0;
        time_point retryAt = never;
        bool disproved = false; ///< The peer itself answered with an older version.
    };

    void accept(time_point now, std::uint64_t version, std::string text, configuration_actions &actions);
    void disprove(time_point now, const instance_id &peer);
    void pullNext(time_point now, configuration_actions &actions);
    void startPull(time_point now, const instance_id &peer, claim &from, configuration_actions &actions);
    std::optional<std::string> textOf(const configuration_reply &reply) const;
    bool hasNewerClaim() const;
    void updateReady(time_point now);
    duration jitter(std::int64_t belowMs);

    std::mt19937_64 m_random;
    configuration_history m_history;
    std::unordered_map<instance_id, claim> m_claims; ///< Peers that state a newer version.
    std::optional<instance_id> m_pulling;
    time_point m_pullDeadline = never;
    time_point m_startedAt = never;
    time_point m_behindSince = never;
    time_point m_nextPlatformRead = never;
    bool m_platformAnswered = false;
    bool m_ready = false;
    configuration_counters m_counters;
};

}
