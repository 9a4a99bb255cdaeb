#pragma once

#include "metadatastore.h"
#include "relaylink.h"
#include "targetpool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace crocusdeal
{

/**
 * Reads the records of the promotion leases, for this instance and for others that the store does not answer.
 *
 * If the store does not answer this instance at once, another one is asked, which reads the store after the question
 * has come. Its answer proves what an own one would that was asked for when the question was sent.
 */
class lease_reader : public std::enable_shared_from_this<lease_reader>
{
public:
    using update_handler = std::function<void(const promotion_lease_list_update &)>;

    explicit lease_reader(front_context &context);

    /** Reads the store, with an answer that is not allowed to be old; this instance takes over what it says. */
    std::function<void(update_handler)> readStore;
    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;
    /** Open links to instances that may reach the store, the best first. Not set if this instance is alone. */
    std::function<std::vector<std::shared_ptr<relay_link>>()> links;
    /** Links to such instances are needed now. */
    std::function<void()> seekLinks;
    /** What another instance has read after it was asked at @p askedAt. */
    std::function<void(const promotion_lease_list_update &, time_point askedAt)> onPeerAnswer;

    /** Reads the store after this call; a failure if it does not answer soon. Calls that wait share one reading. */
    void read(update_handler done);
    /** Reads them here or through another instance; one call at a time. @p done is called in any case. */
    void refresh(std::function<void()> done);
    /** Whether links to other instances are wanted, since the store did not answer lately. */
    bool areLinksWanted(time_point now) const;
    void stop();

private:
    struct waiting_read;
    struct attempt;

    void beginReading();
    void endReading(const std::vector<std::shared_ptr<waiting_read>> &served,
                    const promotion_lease_list_update &update);
    bool isStoreSilent(time_point now) const;
    void handleOwn(const std::shared_ptr<attempt> &current, const promotion_lease_list_update &update);
    void beginAsking(const std::shared_ptr<attempt> &current);
    void askNext(const std::shared_ptr<attempt> &current);
    void ask(const std::shared_ptr<attempt> &current, const std::shared_ptr<relay_link> &link);
    void handleAnswer(const std::shared_ptr<attempt> &current,
                      const instance_id &peer,
                      time_point askedAt,
                      const std::optional<lease_answer> &answer);
    void giveUp(const std::shared_ptr<attempt> &current);
    void finish(const std::shared_ptr<attempt> &current);
    /** The open link to be asked next, or null. */
    std::shared_ptr<relay_link> nextLink(const attempt &current) const;

    front_context &m_context;
    std::vector<std::shared_ptr<waiting_read>> m_waiting; ///< For the next reading.
    time_point m_readingSince = never; ///< Of the reading under way.
    std::shared_ptr<attempt> m_attempt;
    std::optional<instance_id> m_lastPeer; ///< The instance that answered last is asked first.
    time_point m_wantedAt = never;
    bool m_isStopped = false;
};

}
