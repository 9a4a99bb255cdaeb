#pragma once

#include "metadatastore.h"
#include "servingplan.h"
#include "targetpool.h"

#include <functional>
#include <memory>
#include <vector>

namespace crocusdeal
{

/** Announces this instance in the metadata store and reads who else has done so. */
class fleet_feed : public std::enable_shared_from_this<fleet_feed>
{
public:
    fleet_feed(front_context &context, metadata_store &store, fleet_member self);

    std::function<void(const std::vector<fleet_member> &)> onMembers;

    void start();
    /** Ends reading, and takes the announcement back. */
    void stop();
    /** Whether the list has been read once. */
    bool isKnown() const;
    /** Reads the list again soon, at most a few times a second. */
    void refreshSoon();

private:
    void announce();
    void handleAnnouncement(store_failure failure, std::uint64_t revision);
    void list();
    void handleList(const member_update &update);
    void listAfter(duration delay);

    front_context &m_context;
    metadata_store &m_store;
    fleet_member m_self;
    duration m_announceDelay;
    duration m_listDelay;
    deadline_queue::handle m_listTimer = 0;
    std::uint64_t m_revision = 0; ///< Of the announcement; 0 while there is none.
    bool m_isListing = false;
    bool m_isKnown = false;
    bool m_isStopped = false;
};

}
