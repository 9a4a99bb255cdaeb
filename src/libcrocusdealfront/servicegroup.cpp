#include "servicegroup.h"

#include "systemclock.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr duration connectedTime{30000}; // After the last statement.
constexpr duration ageMargin{30}; // A sample counts from when it was asked for; the clocks round to milliseconds.
constexpr std::size_t longestQueue = 400;
constexpr int largestShareDivisor = 3; // No instance takes more than a third of the connections of a target.
constexpr duration longestHint{2000}; // What is older than that is not passed on.
constexpr duration leastReportedLag{300}; // A shorter one is often over before others hear of it.
constexpr duration passingTrouble{150}; // A survey that finds the primary in place takes less.

/** Figures of targets that have not answered for long count less, one by one with @p loads. */
void fadeSlowness(std::vector<read_candidate> &candidates, const std::vector<load_estimate> &loads)
{
    const auto isFaster = [](const read_candidate &a, const read_candidate &b) { return a.answerMs < b.answerMs; };
    const auto fastest = std::min_element(candidates.begin(), candidates.end(), isFaster);
    const double usualMs = fastest == candidates.end() ? 0 : fastest->answerMs;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].answerMs = fadedAnswerMs(candidates[i].answerMs, loads[i].age, usualMs);
    }
}

std::function<double()> makeDraw()
{
    return [random = std::minstd_rand(std::random_device()())]() mutable {
        return std::uniform_real_distribution<>(0, 1)(random);
    };
}

}

service_group::service_group(front_context &context,
                             service_id id,
                             data_centre_id dataCentre,
                             const target_directory &directory)
    : draw(makeDraw())
    , m_context(context)
    , m_id(std::move(id))
    , m_dataCentre(std::move(dataCentre))
    , m_directory(directory)
    , m_proofs(std::make_shared<commit_proof>(context, m_id, m_targets, m_witnesses))
    , m_lastUsedAt(systemNow())
{
}

service_group::~service_group()
{
    m_proofs->stop(); // Answers that are under way keep it alive, but not the targets.
}

const service_id &service_group::id() const
{
    return m_id;
}

void service_group::setPolicy(const service_policy &policy, std::optional<int> servingByWorkspace)
{
    m_policy = policy;
    m_allowance = servingByWorkspace
        ? allowanceByWorkspace(policy.maxConnections, *servingByWorkspace)
        : connection_allowance{std::max(2, policy.maxConnections / largestShareDivisor), false};
    refreshTargets();
}

const service_policy &service_group::policy() const
{
    return m_policy;
}

void service_group::refreshTargets()
{
    m_loads.forgetOld(systemNow());
    for (const auto &[id, known] : m_directory.targets()) {
        if (known.entry.service != m_id) {
            continue;
        }
        auto &pool = m_targets[id];
        if (!pool) {
            pool = std::make_shared<target_pool>(m_context, known.entry, m_allowance);
            pool->onCapacity = [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->pump();
                }
            };
            pool->onReached = [weak = weak_from_this(), target = id] {
                const auto self = weak.lock();
                if (self && self->onTargetReached) {
                    self->onTargetReached(target);
                }
            };
            pool->onConnected = [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (self && self->onLeaseWanted) {
                    self->onLeaseWanted();
                }
            };
            continue;
        }
        pool->update(known.entry, m_allowance);
    }
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const auto *known = m_directory.find(it->first);
        if (known != nullptr && known->entry.service == m_id) {
            ++it;
            continue;
        }
        it->second->retire();
        if (m_primary == it->first) {
            recordNotPrimary(it->first, "gone");
        }
        it = m_targets.erase(it);
    }
    refreshWitnesses();
    pump();
}

void service_group::refreshWitnesses()
{
    const auto now = systemNow();
    std::vector<listed_target> listed;
    for (const auto &[id, pool] : m_targets) {
        const auto *known = m_directory.find(id);
        if (known == nullptr) {
            continue; // refreshTargets() is about to leave it out.
        }
        const bool mayProveCommits = target_directory::mayProveCommits(*known, now);
        listed.push_back({id, known->entry.incarnation, known->listedAt, mayProveCommits});
    }
    m_witnesses.setTargets(listed, now);
    m_proofs->check();
}

const std::map<target_id, std::shared_ptr<target_pool>> &service_group::targets() const
{
    return m_targets;
}

void service_group::adoptClaimedPrimary()
{
    std::optional<target_id> claimed;
    for (const auto &[id, pool] : m_targets) {
        if (!pool->entry().claimsPrimary) {
            continue;
        }
        if (claimed) {
            return; // One of them has not heard yet; a survey tells which.
        }
        claimed = id;
    }
    if (claimed) {
        setPrimary(*claimed, "entry");
        m_isPrimaryProved = false;
    }
}

time_point service_group::lastUsedAt() const
{
    return m_lastUsedAt;
}

bool service_group::isInUse() const
{
    return m_queue.size() > 0 || std::any_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
               return entry.second->inFlight() > 0;
           });
}

void service_group::retire()
{
    onPrimarySuspected = nullptr;
    onLeaseWanted = nullptr;
    onTargetReached = nullptr;
    m_proofs->stop();
    for (const auto &[id, pool] : m_targets) {
        pool->retire();
    }
}

service_group::ticket service_group::acquire(const target_need &need,
                                             std::function<void(target_grant)> granted,
                                             std::function<void(refusal_reason)> refused)
{
    m_lastUsedAt = systemNow();
    if (m_queue.size() == 0 && tryPlace(need, granted)) {
        return 0;
    }
    if (m_queue.size() >= longestQueue) {
        refused(refusal_reason::QueueFull);
        return 0;
    }
    const bool isForPrimary = isOnlyForPrimary(need, m_lastUsedAt);
    if (isHopeless(need, isForPrimary)) {
        refused(refusal_reason::ExpectedWait);
        return 0;
    }
    waiting_work work;
    work.isForPrimary = isForPrimary;
    work.priority = need.priority;
    work.wantedBy = need.wantedBy;
    work.refuseAt = need.refuseAt;
    work.refuse = [this, need, refused = std::move(refused)] { refused(whyNotPlaced(need)); };
    work.tryPlace = [this, need, granted = std::move(granted)] { return tryPlace(need, granted); };
    work.onEnded = [this, workspace = need.workspace] { recordWaiting(workspace, false); };
    recordWaiting(need.workspace, true);
    const auto number = m_queue.add(std::move(work));
    pump();
    armRefusals();
    return number;
}

bool service_group::isHopeless(const target_need &need, bool isForPrimary) const
{
    const auto found = m_primary ? m_targets.find(*m_primary) : m_targets.end();
    if (!isForPrimary || found == m_targets.end()) {
        return false;
    }
    const auto &pool = *found->second;
    const double wait = expectedWaitMs(m_queue.aheadAtPrimary(need.priority), pool.answerMs(), pool.permits());
    return wait > static_cast<double>((need.refuseAt - systemNow()).ms);
}

void service_group::abandon(ticket number)
{
    m_queue.remove(number);
}

void service_group::pump()
{
    // Placing work may end in a release, which pumps again; one level does it all.
    m_isPumpWanted = true;
    if (std::exchange(m_isPumping, true)) {
        return;
    }
    const auto self = shared_from_this();
    while (std::exchange(m_isPumpWanted, false)) {
        if (m_queue.size() > 0) {
            m_queue.placeAll();
        }
    }
    m_isPumping = false;
}

void service_group::keepConnected(time_point now)
{
    const bool isInUse = m_policy.syncReplicas > 0 && now - m_lastUsedAt <= connectedTime;
    for (const auto &[id, pool] : m_targets) {
        const auto *known = m_directory.find(id);
        const bool isKept = isInUse && m_primary != id && known != nullptr && !known->removedAt;
        pool->keepLast(isKept, now);
    }
}

std::size_t service_group::queued() const
{
    return m_queue.size();
}

void service_group::armRefusals()
{
    const auto next = m_queue.nextRefusal();
    if (!next || (m_refusalTimer != 0 && m_refusalAt <= *next)) {
        return;
    }
    m_context.deadlines.cancel(m_refusalTimer);
    m_refusalAt = *next;
    m_refusalTimer = m_context.deadlines.schedule(*next, [self = shared_from_this()] {
        self->m_refusalTimer = 0;
        self->m_queue.refuseExpired(systemNow());
        self->armRefusals();
    });
}

bool service_group::tryPlace(const target_need &need, const std::function<void(target_grant)> &granted)
{
    const auto required = requiredPosition(need);
    if (!required) {
        return tryPlaceAtPrimary(need, granted);
    }
    const auto now = systemNow();
    std::vector<read_candidate> candidates;
    std::vector<std::shared_ptr<target_pool>> pools;
    std::vector<load_estimate> loads;
    for (const auto &[id, pool] : m_targets) {
        if (!isOffered(*pool, need, *required, now)) {
            continue;
        }
        loads.push_back(estimateOf(*pool, now));
        candidates.push_back(candidateOf(*pool, *required, loads.back(), now));
        candidates.back().index = pools.size();
        candidates.back().hasIdleConnection = pool->hasIdle(need.workspace);
        pools.push_back(pool);
    }
    fadeSlowness(candidates, loads);
    warmUpFor(candidates, pools);
    while (const auto chosen = spreadRead(candidates, draw())) {
        const auto isChosen = [&](const read_candidate &candidate) { return candidate.index == *chosen; };
        target_grant grant;
        grant.target = pools[*chosen];
        grant.after = required;
        grant.expectedMs = expectedMs(*std::find_if(candidates.begin(), candidates.end(), isChosen));
        grant.candidates = static_cast<int>(candidates.size());
        grant.knownAge = loads[*chosen].age;
        grant.reporters = loads[*chosen].reporters;
        if (grantAt(std::move(grant), need.workspace, granted)) {
            return true;
        }
        std::erase_if(candidates, isChosen);
    }
    return candidates.empty() && pools.empty() && tryPlaceAtPrimary(need, granted);
}

load_estimate service_group::estimateOf(const target_pool &pool, time_point now) const
{
    return m_loads.estimate(pool.entry().id, pool.entry().incarnation, {pool.answerMs(), pool.timedAt()}, now);
}

read_candidate service_group::candidateOf(const target_pool &pool,
                                          const position &required,
                                          const load_estimate &load,
                                          time_point now) const
{
    read_candidate candidate;
    candidate.inFlight = pool.inFlight();
    candidate.permits = pool.hasRoom(now) ? pool.permits() : 0;
    candidate.slots = pool.entry().slots;
    // One that is full makes a read wait for about one more.
    candidate.answerMs = load.answerMs * (1 + load.fullness);
    candidate.isLocal = pool.entry().dataCentre == m_dataCentre;
    candidate.isPrimary = m_primary == pool.entry().id;
    candidate.hasRequiredPosition = pool.progress().probablyHolds(required, now, m_samples.growthPerMs());
    candidate.isWarmingUp = pool.entry().isWarmingUp;
    candidate.failureRate = pool.failureShare(now);
    return candidate;
}

void service_group::addLoads(time_point now, std::vector<reported_load> &loads) const
{
    for (const auto &[id, pool] : m_targets) {
        const auto refusedAt = pool->lag().lastRefusedAt();
        const bool isBehind = refusedAt != never && now - refusedAt <= longestHint;
        const bool isTimed = pool->timedAt() != never && now - pool->timedAt() <= longestHint;
        if (!isBehind && !isTimed) {
            continue;
        }
        reported_load load;
        load.target = id;
        load.incarnation = pool->entry().incarnation;
        load.age = now - (isBehind ? refusedAt : pool->timedAt());
        load.inFlight = pool->inFlight();
        load.answerMs = pool->answerMs();
        load.isFull = pool->isFull(now);
        if (isBehind) {
            load.behindAt = pool->progress().heldWhenRefused();
        }
        loads.push_back(load);
    }
}

void service_group::recordLoad(const instance_id &from, const reported_load &load)
{
    const auto now = systemNow();
    const auto found = m_targets.find(load.target);
    if (found == m_targets.end() || found->second->entry().incarnation != load.incarnation) {
        return;
    }
    if (!m_loads.record(from, load, now)) {
        return;
    }
    const double growthPerMs = m_samples.growthPerMs();
    const auto newest = m_samples.newest();
    if (!load.behindAt || !newest || growthPerMs <= 0) {
        return;
    }
    const auto refusedAt = now - load.age;
    auto &pool = *found->second;
    const auto behindBy = timeBehind(*load.behindAt, newest->at, growthPerMs) - (newest->requestedAt - refusedAt);
    // What the read of the other instance needed is not known here; a usual lag may have been too much for it alone.
    if (behindBy > leastReportedLag) {
        pool.progress().recordReported(*load.behindAt, refusedAt);
        pool.lag().recordReported(refusedAt, behindBy, draw());
    }
}

void service_group::warmUpFor(std::vector<read_candidate> candidates,
                              const std::vector<std::shared_ptr<target_pool>> &pools)
{
    if (m_allowance.isByWorkspace) {
        return; // What is opened before it is needed takes the place of another workspace.
    }
    for (auto &candidate : candidates) {
        candidate.hasIdleConnection = true;
    }
    // Where connections are scarce, one to the best target has to do.
    const auto now = systemNow();
    const bool isScarce =
        std::any_of(pools.begin(), pools.end(), [&](const auto &pool) { return pool->areConnectionsScarce(now); });
    const auto preferred = isScarce ? placeRead(candidates) : spreadRead(candidates, draw());
    if (!preferred) {
        return;
    }
    auto &pool = *pools[*preferred];
    if (pool.connections() == 0 && pool.canOpen({}, now)) {
        pool.openMore({});
    }
}

bool service_group::tryPlaceAtPrimary(const target_need &need, const std::function<void(target_grant)> &granted)
{
    const auto found = m_primary ? m_targets.find(*m_primary) : m_targets.end();
    if (found == m_targets.end()) {
        suspectPrimary("no primary is known");
        return false;
    }
    const auto &pool = found->second;
    if (!isUsable(*pool, systemNow())) {
        suspectPrimary("the primary cannot be used");
        return false;
    }
    if (!pool->hasRoom(systemNow())) {
        return false;
    }
    target_grant grant;
    grant.target = pool;
    grant.needsProof = !need.isWrite;
    return grantAt(std::move(grant), need.workspace, granted);
}

bool service_group::grantAt(target_grant grant,
                            const workspace_id &workspace,
                            const std::function<void(target_grant)> &granted)
{
    const auto owner = m_allowance.isByWorkspace ? workspace : workspace_id();
    auto &pool = *grant.target;
    grant.link = pool.takeIdle(owner);
    if (!grant.link) {
        openWhereNeeded(pool, owner);
        return false;
    }
    grant.isPrimary = m_primary == pool.entry().id;
    pool.addInFlight(1);
    granted(std::move(grant));
    return true;
}

void service_group::openWhereNeeded(target_pool &pool, const workspace_id &workspace)
{
    // One for each statement that waits; a statement is tried once before it does.
    // Connections of transactions that rest are neither idle nor soon free.
    const int used = m_allowance.isByWorkspace ? pool.workingOf(workspace) : pool.inFlight() + pool.opening();
    const auto waiting = waitingOf(workspace);
    const bool isWorth = isConnectionWorthOpening(waiting, used, pool.answerMs(), pool.openingMs());
    const bool isWanted = static_cast<std::size_t>(openingFor(workspace)) < waiting;
    if (isWorth && isWanted && pool.canOpen(workspace, systemNow())) {
        pool.openMore(workspace);
    }
}

std::size_t service_group::waitingOf(const workspace_id &workspace) const
{
    if (!m_allowance.isByWorkspace) {
        return m_queue.size();
    }
    const auto found = m_waiting.find(workspace);
    return found == m_waiting.end() ? 0 : found->second;
}

void service_group::recordWaiting(const workspace_id &workspace, bool isAdded)
{
    auto &waiting = m_waiting[workspace];
    waiting = isAdded ? waiting + 1 : waiting - 1;
    if (waiting == 0) {
        m_waiting.erase(workspace);
    }
}

int service_group::openingFor(const workspace_id &workspace) const
{
    int sum = 0;
    for (const auto &[id, pool] : m_targets) {
        sum += m_allowance.isByWorkspace ? pool->openingOf(workspace) : pool->opening();
    }
    return sum;
}

std::optional<position> service_group::requiredPosition(const target_need &need) const
{
    if (need.isWrite || need.mustBePrimary || need.reads == consistency::Primary) {
        return std::nullopt;
    }
    auto required = m_samples.covering(need.arrivedAt - need.maxStaleness + ageMargin);
    if (required && need.reads == consistency::ReadYourWrites && need.ownCommit) {
        required = std::max(*required, *need.ownCommit);
    }
    return required;
}

bool service_group::isUsable(const target_pool &pool, time_point now) const
{
    const auto *known = m_directory.find(pool.entry().id);
    return known != nullptr && m_directory.acceptsNewWork(*known, m_primary == pool.entry().id, now)
        && !pool.isFailing(now) && !pool.isSilent(now);
}

bool service_group::isOffered(const target_pool &pool,
                              const target_need &need,
                              const position &required,
                              time_point now) const
{
    const bool isBehind =
        pool.isLagging(now) && !pool.progress().holdsWhileLagging(required, now, m_samples.growthPerMs());
    return !isBehind && !need.avoid.contains(pool.entry().id) && isUsable(pool, now);
}

bool service_group::isOnlyForPrimary(const target_need &need, time_point now) const
{
    const auto required = requiredPosition(need);
    return !required || std::none_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return m_primary != entry.first && isOffered(*entry.second, need, *required, now);
    });
}

refusal_reason service_group::whyNotPlaced(const target_need &need) const
{
    if (m_targets.empty()) {
        return refusal_reason::NoTarget;
    }
    return needsPrimary(need) && isPrimaryMissing(systemNow()) ? refusal_reason::NoPrimary : refusal_reason::QueueTime;
}

void service_group::release(const target_grant &grant, bool isReusable)
{
    grant.target->addInFlight(-1);
    if (isReusable && grant.link->isIdle()) {
        grant.target->giveBack(grant.link);
    } else {
        grant.link->close("not reusable");
    }
    pump();
}

void service_group::addPermit(const target_grant &grant)
{
    grant.target->addInFlight(1);
}

void service_group::endPermit(const target_grant &grant)
{
    grant.target->addInFlight(-1);
    pump();
}

const std::optional<target_id> &service_group::primary() const
{
    return m_primary;
}

std::optional<target_id> service_group::provedPrimary() const
{
    return m_isPrimaryProved ? m_primary : std::nullopt;
}

bool service_group::isPrimaryMissing(time_point now) const
{
    return !m_primary || (m_suspectedSince != never && now - m_suspectedSince > passingTrouble);
}

bool service_group::needsPrimary(const target_need &need) const
{
    return !requiredPosition(need);
}

void service_group::recordPrimary(const target_id &target, std::optional<position> at, time_point askedAt)
{
    m_primaryProvedAt = std::max(m_primaryProvedAt, askedAt);
    m_suspectedSince = never;
    if (m_primary != target) {
        setPrimary(target, "proof");
    }
    m_isPrimaryProved = true;
    if (at) {
        m_samples.add(*at, askedAt);
        m_acknowledged.recordPrimary(target, 0, *at, askedAt);
    }
}

commit_proof::ticket service_group::proveCommit(const sent_commit &commit, std::function<void(bool isKept)> done)
{
    if (m_policy.syncReplicas == 0) {
        done(true);
        return 0;
    }
    return m_proofs->prove(commit, std::move(done));
}

void service_group::cancelProof(commit_proof::ticket number)
{
    m_proofs->cancel(number);
}

void service_group::recordLease(const std::optional<promotion_lease_record> &record,
                                std::uint64_t revision,
                                time_point currentSince)
{
    m_witnesses.recordLease(record, revision, currentSince, systemNow());
    m_proofs->check();
}

void service_group::recordUnrecordedCommand(time_point now)
{
    m_witnesses.recordUnrecordedCommand(now);
}

bool service_group::isLeaseWanted() const
{
    if (m_policy.syncReplicas == 0) {
        return false;
    }
    return m_witnesses.isLeaseWanted() || std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &target) {
               const auto connectedAt = target.second->controlConnectedAt();
               const bool isReplica = target.first != m_primary;
               return isReplica && connectedAt != never && m_witnesses.isLeaseWantedFor(connectedAt);
           });
}

void service_group::recordCommit(const position &at)
{
    m_acknowledged.recordCommit(at);
}

acknowledged_log &service_group::acknowledged()
{
    return m_acknowledged;
}

const acknowledged_log &service_group::acknowledged() const
{
    return m_acknowledged;
}

void service_group::recordNotPrimary(const target_id &target, const char *why)
{
    if (m_primary != target) {
        return;
    }
    m_primary.reset();
    m_context.log.warn("primary_lost")
        .field("service", m_id.str())
        .field("target", target.str())
        .field("why", why)
        .field("proved_ms_ago", (systemNow() - m_primaryProvedAt).ms);
    suspectPrimary(why);
}

void service_group::recordLagging(target_pool &pool, const target_reply &reply, std::optional<position> required)
{
    const auto now = systemNow();
    duration behindBy{0};
    if (required) {
        pool.progress().recordRefused(*required, reply.at.value_or(pool.knownPosition()), now);
        behindBy = timeBehind(reply.at.value_or(*required), *required, m_samples.growthPerMs());
    }
    pool.lag().recordLagging(reply.sentAt, now, behindBy, draw());
}

void service_group::recordCaughtUp(const target_grant &grant, const target_reply &reply)
{
    if (!grant.after) {
        return;
    }
    const auto now = systemNow();
    auto &pool = *grant.target;
    const auto held = std::max(reply.at.value_or(*grant.after), *grant.after);
    // A read that may be served from an older log tells nothing of those that were refused.
    if (!pool.isLagging(now) || pool.progress().isCaughtUp(held, now, m_samples.growthPerMs())) {
        pool.lag().recordCaughtUp(now);
    }
}

void service_group::setPrimary(const target_id &target, const char *source)
{
    if (m_primary == target) {
        return;
    }
    m_context.log.info("primary_known")
        .field("service", m_id.str())
        .field("target", target.str())
        .field("before", m_primary ? m_primary->str() : "none")
        .field("source", source);
    m_proofs->tellLast(target);
    m_primary = target;
    m_samples.clear();
    pump();
}

time_point service_group::primaryProvedAt() const
{
    return m_primaryProvedAt;
}

time_point service_group::suspectedSince() const
{
    return m_suspectedSince;
}

void service_group::suspectPrimary(const char *why)
{
    if (m_suspectedSince != never) {
        return;
    }
    m_suspectedSince = systemNow();
    m_context.log.warn("primary_trouble").field("service", m_id.str()).field("why", why);
    if (onPrimarySuspected) {
        onPrimarySuspected(why);
    }
}

void service_group::writeSent(time_point at)
{
    m_openWrites.insert(at);
}

void service_group::writeEnded(time_point sentAt, bool isAcknowledged)
{
    const auto found = m_openWrites.find(sentAt);
    if (found != m_openWrites.end()) {
        m_openWrites.erase(found);
    }
    if (isAcknowledged) {
        m_lastWriteAckedAt = std::max(m_lastWriteAckedAt, sentAt);
    }
}

time_point service_group::oldestOpenWrite() const
{
    return m_openWrites.empty() ? never : *m_openWrites.begin();
}

time_point service_group::lastWriteAckedAt() const
{
    return m_lastWriteAckedAt;
}

}
