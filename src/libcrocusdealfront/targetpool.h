#pragma once

#include "adaptiveconcurrencylimit.h"
#include "connectionallowance.h"
#include "eventlog.h"
#include "failurerate.h"
#include "frontmetrics.h"
#include "replicabackoff.h"
#include "replicaprogress.h"
#include "replicationreport.h"
#include "targetentry.h"
#include "targetlink.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What every part of the daemon uses; outlives them. */
struct front_context {
    asio::io_context &io;
    deadline_queue &deadlines;
    event_log &log;
    const target_protocol &targets;
    const caller_protocol &callers;
    front_metrics &metrics;
};

/** How a status or another control statement ended. */
struct control_reply {
    std::optional<replication_report> report; ///< Nothing if the target refused or did not answer.
    bool isAnswered = false; ///< The target lives, also if it refused.
    std::string detail;
    time_point askedAt = never;
    time_point connectedAt = never; ///< Since when the connection is open that the answer came over.
};

/** The connections of this instance to one target, and what it has seen of the target's load. */
class target_pool : public std::enable_shared_from_this<target_pool>
{
public:
    target_pool(front_context &context, target_entry entry, connection_allowance allowance);

    /** A connection or a permit has become free. */
    std::function<void()> onCapacity;
    /** A connection is open. */
    std::function<void()> onConnected;
    /** It is reached after there was no connection, so that it may have started again; called before it is asked. */
    std::function<void()> onReached;

    const target_entry &entry() const;
    /** Takes over what changed; another life or address of the target ends the connections. */
    void update(const target_entry &entry, connection_allowance allowance);
    /** Ends idle connections now and the others when their work ends. */
    void retire();
    /** Ends all connections now. */
    void close();

    /** Statements that this instance may have in flight, and has. */
    int permits() const;
    int inFlight() const;
    /** Whether one more may be sent now. */
    bool hasRoom(time_point now) const;
    double failureShare(time_point now) const;
    void addInFlight(int difference);
    double answerMs() const;
    /** When the last answer came that counts in answerMs(). */
    time_point timedAt() const;
    /** Whether it has just refused a statement or a connection, so that others would do better to go elsewhere. */
    bool isFull(time_point now) const;
    void recordAnswer(const target_reply &reply);
    /** An answer that tells nothing of the time that statements of callers take. */
    void recordUntimedAnswer(const target_reply &reply);
    /** The highest position that its log was seen to hold. */
    position knownPosition() const;
    replica_backoff &lag();
    const replica_backoff &lag() const;
    replica_progress &progress();
    const replica_progress &progress() const;
    bool isLagging(time_point now) const;
    /** Whether the target has refused connections by its limit lately; unused ones are closed soon then. */
    bool areConnectionsScarce(time_point now) const;
    /** Whether it has just refused a connection by its limit, so that another would be refused as well. */
    bool isAtConnectionLimit(time_point now) const;
    /** Whether connections to it fail at the moment; a refusal by its limit is no failure. */
    bool isFailing(time_point now) const;
    /** Whether it has left statements unanswered for long and has not answered anything since. */
    bool isSilent(time_point now) const;
    time_point lastAnswerAt() const;
    /** At its address there is nobody, or another target, as far as the last attempt to connect told. */
    bool isReplaced() const;
    bool isNobodyListening() const;
    /** Since when every attempt to connect has failed; never if the last one did not. */
    time_point unreachableSince() const;
    /** Since when a connection to it has been open without a gap, by the oldest that is open; never without one. */
    time_point connectedSince() const;
    /**
     * Since when the connection is open that control statements go over, never without one. Unless connections belong
     * to workspaces that may be any of them, and the newest counts.
     */
    time_point controlConnectedAt() const;
    /** Since when the oldest connection is open that a control statement may go over; never without one. */
    time_point controlConnectedSince() const;
    /** Whether an answer over a connection that @p isTrusted, told since when it is open, has shown the commit. */
    bool hasShown(const position &commit, const std::function<bool(time_point openedAt)> &isTrusted) const;
    /** When the oldest statement or start-up that is not answered yet was sent; never without one. */
    time_point silentSince() const;

    /** Whether an idle connection can be used on behalf of the workspace; an empty one stands for the product itself.
     */
    bool hasIdle(const workspace_id &workspace) const;
    bool canOpen(const workspace_id &workspace, time_point now) const;
    /** An idle connection of the workspace; null if there is none. */
    std::shared_ptr<target_link> takeIdle(const workspace_id &workspace);
    /** Opens one more connection, in place of an unused one if need be; onCapacity tells when it can be used. */
    void openMore(const workspace_id &workspace);
    /** Connections of the workspace, with those that are being opened. */
    int connectionsOf(const workspace_id &workspace) const;
    int openingOf(const workspace_id &workspace) const;
    /** Of these, those that will be free soon: with a statement under way, or being opened. */
    int workingOf(const workspace_id &workspace) const;
    /** How long opening a connection usually takes. */
    double openingMs() const;
    /** Connections that are being opened. */
    int opening() const;
    void giveBack(const std::shared_ptr<target_link> &link);
    /** Whether the last connection stays open, used or not, unless connections are scarce; opens one if need be. */
    void keepLast(bool isKept, time_point now);
    /** Closes connections that nobody needed for a while, but for the last ones. */
    void closeUnused(time_point now);
    int connections() const;

    /** Gives the connection for control statements to callers' statements, unless something is asked over it. */
    void releaseControlLink();
    /** Sends a control statement over a connection of its own, with a limit on the time of the answer. */
    void control(control_statement what, std::uint64_t term, duration limit, std::function<void(control_reply)> done);

private:
    struct control_call;

    void recordRefused(const target_reply &reply, time_point now);
    void openLink(const workspace_id &workspace,
                  std::function<void(std::shared_ptr<target_link>, const link_opening &)> done);
    connection_choice choiceFor(const workspace_id &workspace) const;
    /** Whether the allowance lets the workspace have one more, perhaps in place of an unused one. */
    bool isAllowed(const workspace_id &workspace) const;
    void closeUnusedOfWorkspaces(time_point now);
    /** Takes the link by value, since closing it takes it out of the pool. */
    void closeAsUnused(std::shared_ptr<target_link> link);
    void openControlLink();
    void recordOpened(const link_opening &opening, time_point begunAt);
    /** Until it is reached again it may start again without a sign. */
    void recordContactLost(const std::string &reason);
    void recordLimited(const link_opening &opening, time_point now);
    bool hasLinkForControl() const;
    void sendControl(const std::shared_ptr<control_call> &call);
    void finishControl(const std::shared_ptr<control_call> &call, control_reply reply);
    void trackLink(const std::shared_ptr<target_link> &link);

    front_context &m_context;
    target_entry m_entry;
    connection_allowance m_allowance;
    std::vector<std::shared_ptr<target_link>> m_idle; ///< The oldest last, which is used first and kept longest.
    std::set<std::shared_ptr<target_link>> m_links; ///< All, also those in use.
    std::shared_ptr<target_link> m_controlLink;
    struct opening_link {
        workspace_id workspace;
        time_point begunAt;
    };
    std::vector<opening_link> m_openings; ///< Being opened, the oldest first.
    int m_inFlight = 0;
    adaptive_concurrency_limit m_window;
    failure_rate m_failureShare;
    deadline_queue::handle m_holdTimer = 0;
    double m_answerMs;
    time_point m_timedAt = never;
    double m_openingMs;
    replica_progress m_progress;
    replica_backoff m_lag;
    time_point m_retryAt = never;
    int m_failures = 0;
    int m_limitRefusals = 0; ///< In a row.
    time_point m_limitedAt = never;
    time_point m_unreachableSince = never;
    bool m_isContactLost = false;
    bool m_isLastKept = false;
    bool m_isClosingUnused = false;
    bool m_isReplaced = false;
    bool m_isNobodyListening = false;
    time_point m_lastAnswerAt = never;
    bool m_isRetired = false;
};

}
