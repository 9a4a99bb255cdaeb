#include "groupmonitor.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// With waiters the deadlines of confirmations count, otherwise the probes.
constexpr duration busyTick{10};
constexpr duration idleTick{50};

// A candidate looks for itself before it suspects the primary, so that it knows at once whether it reaches a majority.
constexpr duration ownProbesAfter{500};

constexpr duration factLimit{2000};

// So long after the last statement was routed the targets are still asked for their status.
constexpr duration useLimit{2000};

// A write is counted nowhere between the end of its statement and the request for its confirmation, and for a moment a
// request that was routed by an older snapshot is not in the queue yet.
constexpr duration quietBeforeFence{20};

// A snapshot is renewed at most so often by ordinary answers.
constexpr duration publishInterval{2};

}

group_monitor::group_monitor(asio::io_context &context, group_monitor_settings settings, group_monitor_hooks hooks)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_group(m_settings.group, m_settings.targets, m_settings.policy)
    , m_waiters(m_settings.confirm,
                {[this](const ask_status &ask) {
                     if (auto *entry = control(ask.target)) {
                         entry->wantStatus(ask.notBefore);
                     }
                 },
                 [this](const ask_wait &ask) {
                     if (auto *entry = control(ask.target)) {
                         entry->wantWait(ask.at);
                     }
                 }})
    , m_promotion({[this](const order_target &order) { give(order); },
                   [this](const target_id &target) {
                       if (auto *entry = control(target)) {
                           entry->wantStatus(m_hooks.now());
                       }
                   },
                   [this](bool promoting) {
                       for (auto &[id, entry] : m_controls) {
                           entry->setPromoting(promoting);
                       }
                   },
                   [this](group_log_level level, const std::string &line) { log(level, line); },
                   [this](std::uint64_t term, const target_id &primary) { m_hooks.onHint(term, primary); }})
    , m_view(m_group.view(m_hooks.now()))
{
}

void group_monitor::start()
{
    asio::post(m_strand, [self = shared_from_this()] {
        if (std::exchange(self->m_running, true)) {
            return;
        }
        self->rebuildControls();
        self->tick();
    });
}

void group_monitor::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_running = false;
        self->m_timer.cancel();
        for (auto &[id, entry] : self->m_controls) {
            entry->close();
        }
        self->m_controls.clear();
        self->m_promotion.abandon();
        for (const auto &done : self->m_waiters.abandon()) {
            done();
        }
        for (auto &change : std::exchange(self->m_planned, {})) {
            change.done({});
        }
    });
}

void group_monitor::updateTargets(std::vector<target_address> targets)
{
    asio::post(m_strand, [self = shared_from_this(), targets = std::move(targets)]() mutable {
        if (targets == self->m_group.targets()) {
            return;
        }
        self->m_group.setTargets(std::move(targets));
        if (self->m_running) {
            self->rebuildControls();
            self->publish(self->m_hooks.now(), true);
        }
    });
}

void group_monitor::setDrained(std::set<target_id> drained)
{
    asio::post(m_strand, [self = shared_from_this(), drained = std::move(drained)]() mutable {
        if (drained != self->m_group.drained()) {
            self->m_group.setDrained(std::move(drained));
            self->publish(self->m_hooks.now(), true);
        }
    });
}

void group_monitor::setConfirmMode(confirm_mode mode)
{
    asio::post(m_strand, [self = shared_from_this(), mode] { self->m_waiters.setMode(mode); });
}

group_view_ptr group_monitor::view()
{
    const auto now = m_hooks.now();
    if (now - time_point{m_usedAt.exchange(now.ms)} > useLimit) {
        asio::post(m_strand, [self = shared_from_this()] { self->wake(); });
    }
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void group_monitor::observe(const target_id &target, const target_state &state, time_point askedAt)
{
    asio::post(m_strand, [self = shared_from_this(), target, state, askedAt] {
        self->takeState(target, state, askedAt, observation_source::Own);
    });
}

void group_monitor::observePeer(const target_id &target, const target_state &state, time_point notBefore)
{
    asio::post(m_strand, [self = shared_from_this(), target, state, notBefore] {
        self->takeState(target, state, notBefore, observation_source::Peer);
    });
}

std::vector<group_fact> group_monitor::facts() const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    std::vector<group_fact> result;
    for (const auto &[target, fact] : m_ownFacts) {
        if (now - fact.second <= factLimit) {
            result.push_back({target, fact.first, now - fact.second});
        }
    }
    return result;
}

void group_monitor::confirmWrite(position at, time_point deadline, confirm_callback done)
{
    asio::post(m_strand, [self = shared_from_this(), at, deadline, done = std::move(done)]() mutable {
        if (!self->m_running) {
            done(confirm_result::DeadlinePassed);
            return;
        }
        self->m_waiters.addWrite(at, deadline, std::move(done));
        self->step();
    });
}

void group_monitor::readIndex(time_point startedAt, time_point deadline, index_callback done)
{
    asio::post(m_strand, [self = shared_from_this(), startedAt, deadline, done = std::move(done)]() mutable {
        if (!self->m_running) {
            done(std::nullopt);
            return;
        }
        self->m_waiters.addIndex(startedAt, deadline, std::move(done));
        self->step();
    });
}

void group_monitor::awaitReplica(const target_id &target, position at, time_point deadline, wait_callback done)
{
    asio::post(m_strand, [self = shared_from_this(), target, at, deadline, done = std::move(done)]() mutable {
        if (!self->m_running) {
            done(false);
            return;
        }
        self->m_waiters.addReplicaWait(target, at, deadline, std::move(done));
        self->step();
    });
}

void group_monitor::promote(std::optional<target_id> target, promote_callback done)
{
    asio::post(m_strand, [self = shared_from_this(), target = std::move(target), done = std::move(done)]() mutable {
        if (!self->m_running) {
            done({});
            return;
        }
        const auto now = self->m_hooks.now();
        for (auto &[id, entry] : self->m_controls) {
            entry->wantStatus(now);
        }
        self->m_planned.push_back({std::move(target), now + self->m_settings.policy.unheardLimit, std::move(done)});
        self->step();
    });
}

void group_monitor::scheduleTick()
{
    const bool busy = m_promotion.isRunning() || !m_planned.empty() || !m_waiters.empty();
    m_timer.expires_after(std::chrono::milliseconds((busy ? busyTick : idleTick).ms));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->m_running) {
            self->tick();
        }
    });
}

void group_monitor::tick()
{
    const auto now = m_hooks.now();
    m_rank = m_hooks.candidateRank();
    m_group.tick(now);
    probe(now);
    for (auto &[id, entry] : m_controls) {
        entry->tick();
    }
    m_promotion.tick(now);
    step();
    stepDrain(now);
    stepCandidate(now);
    stepRepair(now);
    publish(now, false);
    countControls();
    scheduleTick();
}

void group_monitor::countControls()
{
    std::map<target_id, int> counts;
    for (const auto &[id, entry] : m_controls) {
        counts.emplace(id, entry->openConnections());
    }
    const std::lock_guard lock(m_mutex);
    m_controlCounts.swap(counts);
}

std::map<target_id, int> group_monitor::controlConnections() const
{
    const std::lock_guard lock(m_mutex);
    return m_controlCounts;
}

void group_monitor::probe(time_point now)
{
    const auto primary = m_group.primary();
    const auto *known = primary ? m_group.find(*primary) : nullptr;
    const bool quiet = known == nullptr || now - known->askedAt > ownProbesAfter;
    const bool standby = quiet && m_rank >= 0;
    for (auto &[id, entry] : m_controls) {
        auto &next = m_nextProbe[id];
        if (now < next || !wantsProbe(id, now, standby)) {
            continue;
        }
        const bool isReplica = primary && id != *primary;
        next = now + (isReplica ? m_settings.policy.replicaProbeInterval : m_settings.policy.probeInterval);
        m_group.noteProbe(id, now);
        entry->wantStatus(now);
    }
}

// Besides the probers, an instance that routes statements asks a target of which neither answers nor peers told lately:
// otherwise a target without work would stay unknown and never get work.
bool group_monitor::wantsProbe(const target_id &target, time_point now, bool standby) const
{
    if (standby || m_hooks.isProber(target)) {
        return true;
    }
    const auto *known = m_group.find(target);
    const bool stale = known == nullptr || now - known->askedAt > ownProbesAfter;
    return stale && now - time_point{m_usedAt.load()} <= useLimit;
}

void group_monitor::wake()
{
    if (m_running) {
        probe(m_hooks.now());
    }
}

// Runs with every answer, unlike the decisions in tick(). Statements may be sent from here, but their answers come
// later, so it does not nest.
void group_monitor::step()
{
    if (!m_running || std::exchange(m_inStep, true)) {
        return;
    }
    const auto now = m_hooks.now();
    stepWaiters(now);
    stepPlanned(now);
    m_inStep = false;
}

// The sessions released here route by the snapshot; it is to show the replicas that confirmed their writes.
void group_monitor::stepWaiters(time_point now)
{
    const auto due = m_waiters.update(m_group, now);
    if (due.empty()) {
        return;
    }
    renewView(now);
    for (const auto &done : due) {
        done();
    }
}

// Every candidate repairs, since the first one may not reach the database. Repeated orders have no further effect.
void group_monitor::stepRepair(time_point now)
{
    if (m_promotion.isRunning() || m_rank < 0) {
        return;
    }
    for (const auto &order : m_repair.update(m_group, now, m_rank)) {
        log(group_log_level::Info,
            "term " + std::to_string(order.term) + ": " + order.target.str() + " follows " + order.upstream.str()
                + ", since it is fenced, behind or on another upstream");
        give(order);
    }
}

void group_monitor::stepPlanned(time_point now)
{
    if (m_planned.empty() || m_promotion.isRunning()) {
        return;
    }
    const auto &wanted = m_planned.front().target;
    const bool reachable = m_group.reachesMajority(now);
    const bool answers = !wanted || !isUnheard(*wanted, now);
    if (!(reachable && answers) && now < m_planned.front().deadline) {
        return;
    }
    if (reachable && answers && awaitsWrites(m_planned.front(), now)) {
        return;
    }
    const auto change = std::move(m_planned.front());
    m_planned.erase(m_planned.begin());
    const auto current = m_group.primary();
    const auto done = [this, tell = change.done](const promotion_result &result) {
        setHeld(std::nullopt);
        tell(result);
    };
    if (!reachable || !answers) {
        done({reachable ? promotion_outcome::TargetNotReached : promotion_outcome::NoMajority, 0, {}});
    } else if (change.target && current == change.target) {
        done({promotion_outcome::Promoted, m_group.highestTerm(), *current});
    } else {
        m_promotion.start(m_group, change.target, "planned change", done, now);
    }
}

// A fence leaves the outcome of the writes in flight unknown. The time is bounded, since a long statement or a lagging
// replica must not keep the change from happening.
bool group_monitor::awaitsWrites(const planned_change &change, time_point now)
{
    const auto current = m_group.primary();
    if (!current || current == change.target || isUnheard(*current, now)) {
        return false;
    }
    if (m_held != current) {
        m_heldSince = now;
        m_writesSeenAt = now;
        setHeld(current);
    }
    if (m_waiters.hasWrites() || (m_hooks.requestsAt && m_hooks.requestsAt(*current) > 0)) {
        m_writesSeenAt = now;
    }
    return now - m_writesSeenAt < quietBeforeFence && now - m_heldSince < m_settings.policy.plannedHold;
}

void group_monitor::setHeld(std::optional<target_id> target)
{
    if (m_held == target) {
        return;
    }
    m_held = target;
    m_group.setHeld(std::move(target));
    if (m_running) {
        publish(m_hooks.now(), true);
    }
}

void group_monitor::stepCandidate(time_point now)
{
    const bool suspected = m_group.primarySuspected(now);
    if (suspected != std::exchange(m_suspected, suspected)) {
        const auto primary = m_group.primary();
        log(group_log_level::Info,
            suspected ? "suspects " + (primary ? "the primary " + primary->str() : std::string("there is no primary"))
                      : "no longer suspects the primary");
        publish(now, true);
    }
    if (!suspected || m_rank < 0 || m_promotion.isRunning() || !m_group.reachesMajority(now)) {
        return;
    }
    const auto startAt =
        std::max(m_group.suspectedSince(), m_promotion.retryAt()) + m_settings.policy.candidateStagger * m_rank;
    if (now >= startAt) {
        const auto primary = m_group.primary();
        m_promotion.start(m_group,
                          std::nullopt,
                          primary ? "the primary " + primary->str() + " does not answer" : "there is no primary",
                          nullptr,
                          now);
    }
}

void group_monitor::stepDrain(time_point now)
{
    const auto primary = m_group.primary();
    if (!primary || !m_group.drained().contains(*primary)) {
        m_drainSeenAt = never;
        return;
    }
    if (m_drainSeenAt == never) {
        m_drainSeenAt = now;
    }
    const auto startAt = std::max(m_drainSeenAt, m_promotion.retryAt()) + m_settings.policy.candidateStagger * m_rank;
    const bool hasOther = std::any_of(m_group.targets().begin(), m_group.targets().end(), [&](const auto &target) {
        const auto *known = m_group.find(target.id);
        return known != nullptr && !known->leaving && now - known->heardAt <= m_settings.policy.unheardLimit;
    });
    if (m_rank >= 0 && now >= startAt && hasOther && !m_promotion.isRunning() && m_group.reachesMajority(now)) {
        m_promotion.start(m_group, std::nullopt, "the primary " + primary->str() + " is drained", nullptr, now);
    }
}

void group_monitor::takeState(const target_id &target,
                              const target_state &state,
                              time_point askedAt,
                              observation_source source)
{
    if (!m_running) {
        return;
    }
    const auto now = m_hooks.now();
    const bool heardAgain = isUnheard(target, now);
    const bool changed = m_group.observe(target, state, askedAt, now, source);
    if (source == observation_source::Own) {
        recordFact(target, state, askedAt);
    }
    afterObservation(now, changed || heardAgain);
}

void group_monitor::takeStatus(const target_id &target, const target_status &status, time_point askedAt)
{
    if (!m_running) {
        return;
    }
    const auto now = m_hooks.now();
    const bool heardAgain = isUnheard(target, now);
    const bool changed = m_group.observe(target, status, askedAt, now, observation_source::Own);
    recordFact(target, {status.term, status.role, status.at}, askedAt);
    m_promotion.observed(target, status, now);
    afterObservation(now, changed || heardAgain);
}

bool group_monitor::isUnheard(const target_id &target, time_point now) const
{
    const auto *known = m_group.find(target);
    return known == nullptr || now - known->heardAt > m_settings.policy.unheardLimit;
}

void group_monitor::recordFact(const target_id &target, const target_state &state, time_point askedAt)
{
    const std::lock_guard lock(m_mutex);
    auto &fact = m_ownFacts[target];
    if (askedAt >= fact.second || state.term > fact.first.term) {
        fact = {state, askedAt};
    }
}

void group_monitor::afterObservation(time_point now, bool changed)
{
    publish(now, changed);
    step();
}

void group_monitor::publish(time_point now, bool changed)
{
    if (!changed && now - m_renewedAt < publishInterval) {
        return;
    }
    const auto fresh = renewView(now);
    if (changed) {
        m_hooks.onViewChanged(fresh);
    }
}

group_view_ptr group_monitor::renewView(time_point now)
{
    auto fresh = m_group.view(now);
    m_renewedAt = now;
    const std::lock_guard lock(m_mutex);
    m_view = fresh;
    return fresh;
}

void group_monitor::rebuildControls()
{
    const auto old = std::exchange(m_controls, {});
    for (const auto &target : m_group.targets()) {
        const auto known = old.find(target.id);
        const bool same = known != old.end() && known->second->address() == target;
        m_controls[target.id] = same ? known->second : makeControl(target);
    }
    for (const auto &[id, entry] : old) {
        if (control(id) != entry.get()) {
            entry->close();
        }
    }
}

std::shared_ptr<target_control> group_monitor::makeControl(const target_address &target)
{
    const auto weak = weak_from_this();
    target_control::hooks hooks;
    hooks.now = m_hooks.now;
    hooks.onStatus = [weak](const target_id &id, const target_status &status, time_point askedAt) {
        if (const auto self = weak.lock()) {
            self->m_failing[id] = false;
            self->takeStatus(id, status, askedAt);
            if (self->m_hooks.onControlStatus) {
                self->m_hooks.onControlStatus(id, status, askedAt);
            }
        }
    };
    hooks.onOrder = [weak](const order_answer &answer, const std::string &error) {
        if (const auto self = weak.lock()) {
            self->onOrder(answer, error);
        }
    };
    hooks.onFailure = [weak](const target_id &id, const control_result &result) {
        if (const auto self = weak.lock()) {
            self->onFailure(id, result);
        }
    };
    control_connection_settings settings;
    settings.user = m_settings.user;
    settings.database = m_settings.database;
    settings.applicationName = "crocusdeal-control-" + m_settings.self.str();
    return std::make_shared<target_control>(
        m_strand, target, std::move(settings), m_settings.policy.waitRound, std::move(hooks));
}

target_control *group_monitor::control(const target_id &target)
{
    const auto found = m_controls.find(target);
    return found == m_controls.end() ? nullptr : found->second.get();
}

std::string group_monitor::upstreamOf(const target_id &target) const
{
    for (const auto &address : m_group.targets()) {
        if (address.id == target) {
            return upstreamName(address);
        }
    }
    return {};
}

void group_monitor::give(const order_target &order)
{
    auto *entry = control(order.target);
    if (entry == nullptr) {
        return;
    }
    const auto timeout =
        order.order == control_order::Promote ? m_settings.policy.promoteTimeout : m_settings.policy.fenceTimeout;
    entry->give(order, order.order == control_order::Follow ? upstreamOf(order.upstream) : std::string(), timeout);
}

void group_monitor::onOrder(const order_answer &answer, const std::string &error)
{
    if (!m_running) {
        return;
    }
    const auto name = std::string(controlOrderNames.name(answer.order));
    const auto outcome = answer.lost ? "is lost, " + error : std::string(answer.granted ? "granted" : "refused");
    log(group_log_level::Debug,
        name + " of term " + std::to_string(answer.term) + " at " + answer.target.str() + ' ' + outcome);
    m_promotion.answered(answer, m_hooks.now());
    step();
}

void group_monitor::onFailure(const target_id &target, const control_result &result)
{
    if (!std::exchange(m_failing[target], true)) {
        // libpq adds advice in further lines.
        const auto reason = result.message.substr(0, result.message.find('\n'));
        log(group_log_level::Info,
            "no status of " + target.str() + ": " + std::string(controlErrorNames.name(result.error))
                + (reason.empty() ? "" : ", " + reason));
    }
    if (target == m_group.primary()) {
        watchFailingPrimary(target, result);
    }
}

// A database whose process has ended refuses connections. That is known sooner than silence, so it is looked for as
// soon as a connection to the primary fails, and again with each refusal at the pace of target_control.
void group_monitor::watchFailingPrimary(const target_id &primary, const control_result &result)
{
    if (!m_running || (m_rank < 0 && !m_hooks.isProber(primary))) {
        return;
    }
    const auto now = m_hooks.now();
    if (result.refused) {
        m_group.noteRefused(primary, now);
        if (m_hooks.onPrimaryRefused) {
            m_hooks.onPrimaryRefused();
        }
    }
    if (auto *entry = control(primary); entry != nullptr && result.error != control_error::TimedOut) {
        entry->wantStatus(now);
    }
}

void group_monitor::log(group_log_level level, const std::string &line) const
{
    m_hooks.log(level, "group: " + m_settings.group.str() + ' ' + line);
}

}
