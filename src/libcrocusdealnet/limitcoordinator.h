#pragma once

#include "connectionbudget.h"
#include "connectionshare.h"
#include "limitcodec.h"
#include "memberinfo.h"
#include "permitholder.h"
#include "permitledger.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The limits of one target as configured. */
struct target_limits {
    target_id target;
    data_centre_id dataCentre;
    int connections = 0;
    int slots = 0;

    friend bool operator==(const target_limits &, const target_limits &) = default;
};

/**
 * The shares and permits of this instance for all targets, and the ledgers that it owns.
 *
 * The owner of a target's ledgers is the first live instance by rendezvous order in the target's data centre, or of the
 * whole fleet if none is live there. Thread-safe; no hook is called under the lock.
 */
class limit_coordinator : public std::enable_shared_from_this<limit_coordinator>
{
public:
    struct hooks {
        std::function<time_point()> now;
        /** Sends @p bytes and calls @p done with the answer or nothing. */
        std::function<
            void(const instance_id &, std::string bytes, std::function<void(std::optional<std::string>)> done)>
            send;
        std::function<void(const std::string &line)> log; ///< Called under the lock; must not call back.
        /** The allowance or the long places of a target changed. */
        std::function<void(const target_id &)> onChanged;
        /** What other instances measured of these statement shapes. */
        std::function<void(const target_id &, const std::vector<shared_shape> &)> onShapes = nullptr;
    };

    /** @p incarnation must rise with each start of the instance. */
    limit_coordinator(instance_id self, std::uint64_t incarnation, hooks callbacks);

    void setTargets(const std::vector<target_limits> &targets);
    void setMembers(std::shared_ptr<const std::vector<member_info>> members);
    /** Instances that the platform does not list any more; those that are also dead to the members are gone. */
    void setListed(std::set<instance_id> listed);

    /** Sends what is due; to be called each 100 ms. */
    void tick();
    /** Messages of another instance; returns the answer. */
    std::string onMessages(const instance_id &from, std::string_view bytes);
    /** The target's own count, control connections included. */
    void onTargetStatus(const target_id &target, int connections, time_point askedAt);

    /** Whether one more connection may be opened; if so, its opening has begun. */
    bool beginOpening(const target_id &target);
    void onEstablished(const target_id &target);
    void onOpenFailed(const target_id &target, bool refused);
    void onClosed(const target_id &target);
    /** @p longRunning of the long statements run, also without a permit. */
    void setDemand(const target_id &target, int connections, int longStatements, int longRunning = 0);
    /** What the other instances should know of statement shapes. */
    void setShapes(const target_id &target, std::vector<shared_shape> shapes);
    /** As setDemand() for the long statements, and asks for permits at once. */
    void setLongDemand(const target_id &target, int longStatements);
    /** Whether the owner has answered that it has no further permit for this instance. */
    bool isPermitDenied(const target_id &target) const;
    /** A long statement that ran under a permit has ended. */
    void onLongFinished(const target_id &target);
    void setControlConnections(const target_id &target, int count);

    /** Whether each target's ledger has granted a share or cannot be reached; true after 10 s in any case. */
    bool isReady() const;
    int allowance(const target_id &target) const;
    /** Open connections to close because a loan was taken back. */
    int excess(const target_id &target) const;
    /** Long statements that may run now. */
    int longPlaces(const target_id &target) const;

private:
    struct entry {
        target_limits limits;
        permit_holder permits;
        connection_share share;
        time_point since; ///< When this instance learnt of the target.
        bool heardOwner = false;
        int lastAllowance = 0;
        int lastPlaces = 0;
        int lastExcess = 0;
        instance_id owner;
        time_point ownerSince = never;
        int counted = 0; ///< Connections by the target's own count.
        time_point countedAt = never; ///< When the target was asked for it.
        time_point establishedAt = never; ///< Last connection of this instance.
        std::unique_ptr<permit_ledger> ledger; ///< Only of the owner.
        std::unique_ptr<connection_budget> budget;
        shape_reporter shapes;
        std::unique_ptr<shape_ledger> shapeLedger;
    };
    using outbox = std::map<instance_id, limit_messages>;

    void updateOwner(entry &item, time_point now);
    void updateOwners(time_point now);
    void takeOver(entry &item, time_point now);
    void poll(entry &item, time_point now, outbox &out);
    void receive(const limit_messages &messages, limit_messages &answer, time_point now);
    void receiveShapes(const limit_messages &messages, limit_messages &answer, time_point now);
    void deliver(const outbox &out);
    void deliverLocally(limit_messages messages);
    std::vector<target_id> collectChanges(time_point now);
    void notify(const std::vector<target_id> &changed);
    int usableShare(const entry &item, time_point now) const;
    int fallbackShare(const entry &item) const;
    int surplusOf(const entry &item, time_point now) const;
    bool isCutOff(const entry &item, time_point now) const;
    bool isGranted(const entry &item, time_point now) const;
    bool mayOpenByCount(const entry &item, time_point now) const;
    void onAnswered(const instance_id &from);
    void updateBudgets();
    void reportGone(time_point now);
    connection_budget_settings budgetSettings(const target_limits &limits) const;
    entry *find(const target_id &target);
    const entry *find(const target_id &target) const;

    const instance_id m_self;
    const std::uint64_t m_incarnation;
    const hooks m_hooks;

    mutable std::mutex m_mutex;
    std::map<target_id, entry> m_entries;
    std::shared_ptr<const std::vector<member_info>> m_members;
    std::vector<instance_id> m_live;
    std::set<instance_id> m_listed;
    std::map<instance_id, std::uint64_t> m_incarnations; ///< Of holders that reported here.
    std::set<instance_id> m_gone;
    std::map<target_id, std::vector<shared_shape>> m_learnt; ///< Shapes for which the hook is still to be called.
    std::map<instance_id, time_point> m_answeredAt;
    std::uint64_t m_nextLedger;
};

}
