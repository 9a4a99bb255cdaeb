#include "targetpool.h"

#include "commitwitnesses.h"
#include "systemclock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr double firstAnswerMs = 10;
constexpr double answerWeight = 0.1;
constexpr double firstOpeningMs = 20;
constexpr double openingWeight = 0.2;
constexpr duration firstRetry{100};
constexpr duration longestRetry{800};
constexpr duration firstLimitRetry{100}; // After the target refused a connection by its limit.
constexpr duration longestLimitRetry{400};
constexpr int maxLimitDoublings = 2;
constexpr duration scarceTime{5000}; // How long connections count as scarce after such a refusal.
constexpr duration scarceUnusedTime{200};
// Extra connections go soon: those of an instance that loses power stay counted for seconds, and its successor needs
// room.
constexpr duration unusedTime{800};
constexpr std::size_t keptIdle = 1;
// More instances than a target has connections can share them only if each lets go of what it hardly uses.
constexpr duration lastUnusedTime{4000};
constexpr duration silentTime{250};
constexpr int openingAtOnce = 2; // Each takes a slot of the target for its start-up.
// A connection of a workspace is worth a new one, and is closed early only for that of another workspace.
constexpr duration workspaceUnusedTime{15000};
constexpr duration scarceWorkspaceUnusedTime{800};

}

struct target_pool::control_call {
    control_statement what = control_statement::Status;
    std::uint64_t term = 0;
    time_point askedAt = never;
    std::function<void(control_reply)> done;
    std::weak_ptr<target_link> link; ///< Over which it was sent.
    deadline_queue::handle limit = 0;
    bool isFinished = false;
};

target_pool::target_pool(front_context &context, target_entry entry, connection_allowance allowance)
    : m_context(context)
    , m_entry(std::move(entry))
    , m_allowance(allowance)
    , m_window(m_entry.slots)
    , m_answerMs(firstAnswerMs)
    , m_openingMs(firstOpeningMs)
{
}

const target_entry &target_pool::entry() const
{
    return m_entry;
}

void target_pool::update(const target_entry &entry, connection_allowance allowance)
{
    m_allowance = allowance;
    const bool isAnotherLife = entry.incarnation != m_entry.incarnation || entry.address != m_entry.address;
    m_entry = entry;
    m_window.setMaximum(entry.slots);
    if (!isAnotherLife) {
        return;
    }
    m_progress.forget();
    m_failures = 0;
    m_retryAt = never;
    const auto links = m_links;
    for (const auto &link : links) {
        link->close("target has started again");
    }
    m_isContactLost = false;
}

void target_pool::retire()
{
    m_isRetired = true;
    onCapacity = nullptr;
    onConnected = nullptr;
    onReached = nullptr;
    const auto idle = std::exchange(m_idle, {});
    for (const auto &link : idle) {
        link->close("target is gone");
    }
    if (m_controlLink) {
        m_controlLink->close("target is gone");
    }
}

void target_pool::close()
{
    retire();
    const auto links = m_links;
    for (const auto &link : links) {
        link->close("closed");
    }
}

int target_pool::permits() const
{
    return m_window.permits();
}

bool target_pool::hasRoom(time_point now) const
{
    const auto held = m_window.backoffUntil();
    return m_inFlight < permits() && (held == never || now >= held);
}

double target_pool::failureShare(time_point now) const
{
    return m_failureShare.at(now);
}

int target_pool::inFlight() const
{
    return m_inFlight;
}

void target_pool::addInFlight(int difference)
{
    m_inFlight += difference;
}

double target_pool::answerMs() const
{
    return m_answerMs;
}

time_point target_pool::timedAt() const
{
    return m_timedAt;
}

bool target_pool::isFull(time_point now) const
{
    const auto held = m_window.backoffUntil();
    return isAtConnectionLimit(now) || (held != never && now < held);
}

void target_pool::recordAnswer(const target_reply &reply)
{
    const auto now = systemNow();
    if (reply.isLost) {
        m_failureShare.record(true, now);
        return;
    }
    recordUntimedAnswer(reply);
    if (reply.error == error_code::Busy) {
        recordRefused(reply, now);
    }
    if (reply.error == error_code::Failed || reply.error == error_code::Timeout) {
        m_failureShare.record(true, now);
    }
    if (reply.isSuccess()) {
        m_failureShare.record(false, now);
        m_window.recordSuccess();
        m_timedAt = now;
        m_answerMs += answerWeight * (static_cast<double>((now - reply.sentAt).ms) - m_answerMs);
    }
}

void target_pool::recordRefused(const target_reply &reply, time_point now)
{
    m_window.recordBusy(reply.sentAt, now);
    if (m_holdTimer != 0) {
        return;
    }
    m_holdTimer = m_context.deadlines.schedule(m_window.backoffUntil(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->m_holdTimer = 0;
        if (self->onCapacity) {
            self->onCapacity();
        }
    });
}

void target_pool::recordUntimedAnswer(const target_reply &reply)
{
    if (reply.isLost) {
        return;
    }
    m_lastAnswerAt = systemNow();
    if (reply.at) {
        m_progress.recordHeld(*reply.at, m_lastAnswerAt);
    }
}

position target_pool::knownPosition() const
{
    return m_progress.held();
}

replica_backoff &target_pool::lag()
{
    return m_lag;
}

const replica_backoff &target_pool::lag() const
{
    return m_lag;
}

replica_progress &target_pool::progress()
{
    return m_progress;
}

const replica_progress &target_pool::progress() const
{
    return m_progress;
}

bool target_pool::isLagging(time_point now) const
{
    return m_lag.isBackingOff(now);
}

bool target_pool::areConnectionsScarce(time_point now) const
{
    return m_limitedAt != never && now - m_limitedAt < scarceTime;
}

bool target_pool::isAtConnectionLimit(time_point now) const
{
    return m_limitRefusals > 0 && now < m_retryAt;
}

bool target_pool::isFailing(time_point now) const
{
    return m_failures > 0 && m_links.empty() && now < m_retryAt;
}

bool target_pool::isSilent(time_point now) const
{
    const auto since = silentSince();
    return since != never && now - since > silentTime && m_lastAnswerAt < since;
}

time_point target_pool::lastAnswerAt() const
{
    return m_lastAnswerAt;
}

bool target_pool::isReplaced() const
{
    return m_isReplaced;
}

time_point target_pool::unreachableSince() const
{
    return m_unreachableSince;
}

time_point target_pool::connectedSince() const
{
    auto oldest = never;
    for (const auto &link : m_links) {
        oldest = oldest == never ? link->openedAt : std::min(oldest, link->openedAt);
    }
    return oldest;
}

time_point target_pool::controlConnectedSince() const
{
    return m_allowance.isByWorkspace ? controlConnectedAt() : connectedSince();
}

time_point target_pool::controlConnectedAt() const
{
    if (m_allowance.isByWorkspace) {
        return m_controlLink ? m_controlLink->openedAt : never;
    }
    auto newest = never;
    for (const auto &link : m_links) {
        newest = std::max(newest, link->openedAt);
    }
    return newest;
}

bool target_pool::hasShown(const position &commit, const std::function<bool(time_point)> &isTrusted) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const std::shared_ptr<target_link> &link) {
        return holdsCommit(link->lastPosition, commit) && isTrusted(link->openedAt);
    });
}

bool target_pool::isNobodyListening() const
{
    return m_isNobodyListening;
}

time_point target_pool::silentSince() const
{
    auto oldest = m_openings.empty() ? never : m_openings.front().begunAt;
    for (const auto &link : m_links) {
        const auto since = link->oldestPendingAt();
        if (since != never && (oldest == never || since < oldest)) {
            oldest = since;
        }
    }
    return oldest;
}

bool target_pool::hasIdle(const workspace_id &workspace) const
{
    return std::any_of(m_idle.begin(), m_idle.end(), [&](const auto &link) { return link->workspace == workspace; });
}

bool target_pool::canOpen(const workspace_id &workspace, time_point now) const
{
    return !m_isRetired && now >= m_retryAt && opening() < openingAtOnce && isAllowed(workspace);
}

bool target_pool::isAllowed(const workspace_id &workspace) const
{
    if (!m_allowance.isByWorkspace) {
        return connections() < m_allowance.most;
    }
    return choiceFor(workspace).step != connection_step::Wait;
}

connection_choice target_pool::choiceFor(const workspace_id &workspace) const
{
    connection_census census;
    census.all = connections();
    census.ofWorkspace = connectionsOf(workspace);
    for (const auto &link : m_idle) {
        census.idle.push_back({link->workspace, link->idleSince});
    }
    return chooseConnection(m_allowance, workspace, census);
}

std::shared_ptr<target_link> target_pool::takeIdle(const workspace_id &workspace)
{
    for (auto i = m_idle.size(); i-- > 0;) {
        auto link = m_idle[i];
        if (link->workspace != workspace) {
            continue;
        }
        m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (link->isIdle()) {
            return link;
        }
    }
    // Where no other can be opened, a connection is not kept for control statements.
    const bool isLent =
        m_controlLink && m_controlLink->isIdle() && !m_allowance.isByWorkspace && areConnectionsScarce(systemNow());
    return isLent ? std::exchange(m_controlLink, nullptr) : nullptr;
}

void target_pool::openMore(const workspace_id &workspace)
{
    if (m_allowance.isByWorkspace) {
        const auto choice = choiceFor(workspace);
        if (choice.step == connection_step::Replace) {
            closeAsUnused(m_idle[choice.closes]);
        }
    }
    openLink(workspace,
             [self = shared_from_this()](const std::shared_ptr<target_link> &link, const link_opening &opening) {
                 if (opening.isOpen) {
                     self->giveBack(link);
                 }
             });
}

void target_pool::openControlLink()
{
    openLink({}, [self = shared_from_this()](const std::shared_ptr<target_link> &link, const link_opening &opening) {
        if (!opening.isOpen) {
            return;
        }
        if (self->m_controlLink && self->m_controlLink->isOpen()) {
            self->giveBack(link);
            return;
        }
        self->m_controlLink = link;
    });
}

int target_pool::connectionsOf(const workspace_id &workspace) const
{
    const auto open = std::count_if(m_links.begin(), m_links.end(), [&](const auto &link) {
        return link->workspace == workspace && link != m_controlLink;
    });
    return static_cast<int>(open) + openingOf(workspace);
}

int target_pool::workingOf(const workspace_id &workspace) const
{
    // A connection of a transaction that rests has nothing under way and is not free either.
    const auto working = std::count_if(m_links.begin(), m_links.end(), [&](const auto &link) {
        return link->workspace == workspace && link != m_controlLink && link->oldestPendingAt() != never;
    });
    return static_cast<int>(working) + openingOf(workspace);
}

int target_pool::openingOf(const workspace_id &workspace) const
{
    return static_cast<int>(std::count_if(m_openings.begin(), m_openings.end(), [&](const opening_link &opening) {
        return opening.workspace == workspace;
    }));
}

double target_pool::openingMs() const
{
    return m_openingMs;
}

int target_pool::opening() const
{
    return static_cast<int>(m_openings.size());
}

void target_pool::openLink(const workspace_id &workspace,
                           std::function<void(std::shared_ptr<target_link>, const link_opening &)> done)
{
    const auto begunAt = systemNow();
    m_openings.push_back({workspace, begunAt});
    auto link = std::make_shared<target_link>(m_context.io, m_context.deadlines, m_context.targets);
    link->open(m_entry.address,
               m_entry.service.str(),
               workspace,
               m_entry.id.str(),
               [self = shared_from_this(), link, begunAt, done = std::move(done)](const link_opening &opening) {
                   const auto isSame = [&](const opening_link &other) {
                       return other.begunAt == begunAt && other.workspace == link->workspace;
                   };
                   self->m_openings.erase(std::find_if(self->m_openings.begin(), self->m_openings.end(), isSame));
                   self->recordOpened(opening, begunAt);
                   if (opening.isOpen) {
                       self->trackLink(link);
                   }
                   done(link, opening);
                   // Only now it is known what the connection is used for.
                   if (opening.isOpen && self->onConnected) {
                       self->onConnected();
                   }
                   // Work may have waited with a connection of its own for this one to be opened.
                   if (self->onCapacity) {
                       self->onCapacity();
                   }
               });
}

void target_pool::trackLink(const std::shared_ptr<target_link> &link)
{
    const bool isFirst = m_links.empty();
    m_links.insert(link);
    link->onEnded = [self = shared_from_this(), raw = link.get()] {
        const auto isSame = [raw](const std::shared_ptr<target_link> &other) { return other.get() == raw; };
        std::erase_if(self->m_idle, isSame);
        std::erase_if(self->m_links, isSame);
        if (self->m_controlLink.get() == raw) {
            self->m_controlLink.reset();
        }
        if (self->m_links.empty() && !self->m_isClosingUnused) {
            self->recordContactLost("the last connection has ended");
        }
        if (self->onCapacity) {
            self->onCapacity();
        }
    };
    if (isFirst && onReached) {
        onReached();
    }
}

void target_pool::recordOpened(const link_opening &opening, time_point begunAt)
{
    const auto now = systemNow();
    m_isReplaced = opening.refusal == error_code::WrongTarget;
    m_isNobodyListening = opening.isNobodyListening;
    if (opening.isOpen) {
        m_failures = 0;
        m_limitRefusals = 0;
        m_retryAt = never;
        m_unreachableSince = never;
        m_lastAnswerAt = now;
        if (std::exchange(m_isContactLost, false)) {
            m_context.log.info("target_contact")
                .field("target", m_entry.id.str())
                .field("service", m_entry.service.str())
                .field("incarnation", static_cast<std::int64_t>(m_entry.incarnation))
                .field("known", toString(m_progress.held()));
        }
        m_openingMs += openingWeight * (static_cast<double>((now - begunAt).ms) - m_openingMs);
        return;
    }
    if (opening.refusal == error_code::ConnectionLimit || opening.refusal == error_code::Busy) {
        recordLimited(opening, now);
        return;
    }
    ++m_failures;
    recordContactLost(opening.reason);
    if (m_unreachableSince == never) {
        m_unreachableSince = now;
    }
    m_retryAt = now + std::min(longestRetry, firstRetry * (std::int64_t{1} << std::min(m_failures - 1, 4)));
    m_context.log.warn("target_connection_failed")
        .field("target", m_entry.id.str())
        .field("service", m_entry.service.str())
        .field("refusal", opening.refusal ? errorCodeNames.name(*opening.refusal) : "none")
        .field("reason", opening.reason)
        .field("connections", connections())
        .field("failures", m_failures);
}

void target_pool::recordContactLost(const std::string &reason)
{
    if (std::exchange(m_isContactLost, true)) {
        return;
    }
    m_context.log.info("target_contact_lost")
        .field("target", m_entry.id.str())
        .field("service", m_entry.service.str())
        .field("incarnation", static_cast<std::int64_t>(m_entry.incarnation))
        .field("known", toString(m_progress.held()))
        .field("reason", reason);
}

void target_pool::recordLimited(const link_opening &opening, time_point now)
{
    // The target lives and says nothing of its role: too many connections are open, perhaps of instances that are gone.
    m_failures = 0;
    m_unreachableSince = never;
    m_lastAnswerAt = now;
    m_limitedAt = now;
    const auto doublings = std::min(m_limitRefusals, maxLimitDoublings);
    ++m_limitRefusals;
    m_retryAt = now + std::min(longestLimitRetry, firstLimitRetry * (std::int64_t{1} << doublings));
    m_context.deadlines.schedule(m_retryAt, [weak = weak_from_this()] {
        // Work that waits is placed no sooner than somebody asks for it.
        const auto self = weak.lock();
        if (self && self->onCapacity) {
            self->onCapacity();
        }
    });
    m_context.log.info("target_at_connection_limit")
        .field("target", m_entry.id.str())
        .field("service", m_entry.service.str())
        .field("refusal", errorCodeNames.name(*opening.refusal))
        .field("connections", connections())
        .field("refusals", m_limitRefusals);
}

void target_pool::giveBack(const std::shared_ptr<target_link> &link)
{
    if (!link->isIdle()) {
        return;
    }
    if (m_isRetired) {
        link->close("target is gone");
        return;
    }
    link->idleSince = systemNow();
    const auto isOlder = [&](const std::shared_ptr<target_link> &other) { return other->openedAt < link->openedAt; };
    m_idle.insert(std::find_if(m_idle.begin(), m_idle.end(), isOlder), link);
    if (onCapacity) {
        onCapacity();
    }
}

void target_pool::keepLast(bool isKept, time_point now)
{
    m_isLastKept = isKept;
    const bool hasOne = m_allowance.isByWorkspace ? m_controlLink || openingOf({}) > 0 : connections() > 0;
    if (!isKept || hasOne || areConnectionsScarce(now) || !canOpen({}, now)) {
        return;
    }
    if (m_allowance.isByWorkspace) {
        openControlLink();
    } else {
        openMore({});
    }
}

void target_pool::closeAsUnused(std::shared_ptr<target_link> link)
{
    m_isClosingUnused = true;
    std::exchange(link, nullptr)->close("not needed");
    m_isClosingUnused = false;
}

void target_pool::closeUnusedOfWorkspaces(time_point now)
{
    const auto limit = areConnectionsScarce(now) ? scarceWorkspaceUnusedTime : workspaceUnusedTime;
    const auto idle = m_idle;
    for (const auto &link : idle) {
        if (now - link->idleSince > limit) {
            closeAsUnused(link);
        }
    }
    const bool isControlUnused =
        m_controlLink && m_controlLink->isIdle() && now - m_controlLink->lastAnswerAt > lastUnusedTime;
    if (isControlUnused && !m_isLastKept) {
        closeAsUnused(m_controlLink);
    }
}

void target_pool::closeUnused(time_point now)
{
    if (m_allowance.isByWorkspace) {
        closeUnusedOfWorkspaces(now);
        return;
    }
    const auto controlTime = areConnectionsScarce(now) ? scarceUnusedTime : unusedTime;
    if (m_controlLink && m_controlLink->isIdle() && now - m_controlLink->lastAnswerAt > controlTime) {
        giveBack(std::exchange(m_controlLink, nullptr));
    }
    const bool isScarce = areConnectionsScarce(now);
    while (!m_idle.empty()) {
        if (m_isLastKept && !isScarce && m_links.size() == 1) {
            return;
        }
        const auto link = m_idle.front();
        const auto usual = m_idle.size() > keptIdle ? unusedTime : lastUnusedTime;
        if (now - link->idleSince <= (isScarce ? scarceUnusedTime : usual)) {
            return;
        }
        closeAsUnused(link);
    }
}

int target_pool::connections() const
{
    return static_cast<int>(m_links.size() + m_openings.size());
}

void target_pool::control(control_statement what,
                          std::uint64_t term,
                          duration limit,
                          std::function<void(control_reply)> done)
{
    if (!hasLinkForControl() && isAtConnectionLimit(systemNow())) {
        // One more attempt would only be refused, and takes a slot of the target.
        asio::post(m_context.io, [done = std::move(done)] {
            done({std::nullopt, true, "connection limit", systemNow(), never});
        });
        return;
    }
    const auto call = std::make_shared<control_call>();
    call->what = what;
    call->term = term;
    call->done = std::move(done);
    call->limit = m_context.deadlines.scheduleAfter(limit, [self = shared_from_this(), call] {
        if (const auto link = call->link.lock()) {
            // The next control statement gets a fresh connection: this one may be dead without a reset.
            link->close("control statement not answered");
        }
        self->finishControl(call, {std::nullopt, false, "not answered", call->askedAt, never});
    });
    if (m_controlLink && m_controlLink->isOpen()) {
        sendControl(call);
        return;
    }
    if (auto idle = takeIdle({})) {
        m_controlLink = std::move(idle);
        sendControl(call);
        return;
    }
    openLink({},
             [self = shared_from_this(), call](const std::shared_ptr<target_link> &link, const link_opening &opening) {
                 if (opening.isOpen) {
                     const bool hasOther = self->m_controlLink && self->m_controlLink->isOpen();
                     if (!hasOther) {
                         self->m_controlLink = link;
                     }
                     self->sendControl(call);
                     if (hasOther) {
                         // Last, as giving a connection back places work, which may end any connection of this pool.
                         self->giveBack(link);
                     }
                     return;
                 }
                 const bool isAnswered = opening.refusal.has_value() && *opening.refusal != error_code::WrongTarget;
                 self->finishControl(call, {std::nullopt, isAnswered, opening.reason, systemNow(), never});
             });
}

void target_pool::releaseControlLink()
{
    // One that belongs to no workspace is of no use for statements of callers.
    if (m_controlLink && m_controlLink->isIdle() && !m_allowance.isByWorkspace) {
        giveBack(std::exchange(m_controlLink, nullptr));
    }
}

bool target_pool::hasLinkForControl() const
{
    return (m_controlLink && m_controlLink->isOpen()) || hasIdle({});
}

void target_pool::sendControl(const std::shared_ptr<control_call> &call)
{
    if (call->isFinished) {
        return;
    }
    std::string encoded;
    m_context.targets.addControl(encoded, call->what, std::nullopt, call->term);
    call->askedAt = systemNow();
    call->link = m_controlLink;
    const auto connectedAt = m_controlLink->openedAt;
    m_controlLink->send(encoded, [self = shared_from_this(), call, connectedAt](const target_reply &reply) {
        self->recordUntimedAnswer(reply);
        control_reply answer;
        answer.isAnswered = !reply.isLost;
        answer.detail = reply.isLost ? reply.reason : reply.errorText;
        answer.askedAt = reply.sentAt;
        answer.connectedAt = connectedAt;
        if (reply.isSuccess() && !reply.rows.empty()) {
            answer.report = self->m_context.targets.decodeReport(reply.rows.front());
        }
        self->finishControl(call, std::move(answer));
    });
}

void target_pool::finishControl(const std::shared_ptr<control_call> &call, control_reply reply)
{
    if (std::exchange(call->isFinished, true)) {
        return;
    }
    m_context.deadlines.cancel(call->limit);
    const auto done = std::exchange(call->done, nullptr);
    done(std::move(reply));
}

}
