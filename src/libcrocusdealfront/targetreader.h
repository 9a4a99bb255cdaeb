#pragma once

#include "relaylink.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace crocusdeal
{

/**
 * Hears of the targets' entries through another instance while the store does not answer this one.
 *
 * An instance that does not hear that an entry has gone would go on to prove commits by the target, which others leave
 * out of their promotions. Where no instance that is reached hears the store, what is known stays in force.
 */
class target_reader : public std::enable_shared_from_this<target_reader>
{
public:
    explicit target_reader(front_context &context);

    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;
    /** Open links to instances that may reach the store, the best first. */
    std::function<std::vector<std::shared_ptr<relay_link>>()> links;
    /** The services whose targets are of interest. */
    std::function<std::vector<service_id>()> services;
    /** The targets of the services; @p changedAfter is when the last earlier answer was asked for, or never. */
    std::function<void(const std::vector<service_id> &, const target_answer &, time_point changedAfter)> onPeerAnswer;

    /** Asks if it is time. */
    void tick(time_point now);
    void stop();

private:
    std::shared_ptr<relay_link> nextLink() const;
    void ask(const std::shared_ptr<relay_link> &link, time_point now);
    void handleAnswer(const std::vector<service_id> &asked, const target_answer &answer, time_point askedAt);

    front_context &m_context;
    std::optional<instance_id> m_unhelpful; ///< The instance that was asked last, until it has told the targets.
    std::uint64_t m_question = 0; ///< Answers to earlier ones are not heard.
    time_point m_askedAt = never;
    time_point m_heardAt = never; ///< When the last answer was asked for.
    bool m_isStopped = false;
};

}
