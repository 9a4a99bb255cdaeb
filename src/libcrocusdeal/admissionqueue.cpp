#include "admissionqueue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace crocusdeal
{

namespace
{

// CoDel's interval: longer than a burst of a few statements, short against the deadline.
constexpr duration overloadInterval{100};
// Overload begins when no entry was started within half of its time, and ends when none waits for more than an eighth.
constexpr double overloadAbove = 0.5;
constexpr double overloadOver = 0.125;
// Work that a service may catch up on after it was idle: its bursts go first as long as it stays within its share.
constexpr double idleCreditMs = 400;
// Callers without waiting work are forgotten when this many more are known than entries wait.
constexpr std::size_t idleCallers = 1024;

int sizeClassOf(double ms)
{
    return std::bit_width(static_cast<std::uint64_t>(std::max(0.0, ms)));
}

double waitShare(time_point arrival, time_point deadline, time_point now)
{
    const auto whole = std::max<std::int64_t>(1, (deadline - arrival).ms);
    return static_cast<double>((now - arrival).ms) / static_cast<double>(whole);
}

}

admission_queue::admission_queue(admission_queue_settings settings)
    : m_settings(settings)
{
}

queue_actions admission_queue::submit(const queue_entry &entry, time_point now)
{
    if (m_sequences.contains(entry.id) || m_running.contains(entry.id)) {
        return settle(now);
    }
    queue_actions actions;
    if (entry.followUp) {
        startRunning(entry, now, actions);
    } else if (m_waiting.size() >= m_settings.maxEntries && !makeRoom(entry.service, actions)) {
        actions.refuse.push_back({entry.id, refuse_reason::QueueFull});
    } else {
        add(entry, now);
    }
    return settle(now, std::move(actions));
}

void admission_queue::add(const queue_entry &entry, time_point now)
{
    auto &service = m_services[entry.service];
    if (service.waiting.empty()) {
        service.tag = std::max(service.tag, m_virtualTime - idleCreditMs);
    }
    auto &lastTag = service.lastTags[entry.caller];
    const auto startTag = std::max(service.virtualTime, lastTag);
    const auto finishTag = startTag + static_cast<double>(std::max<std::int64_t>(1, entry.expected.ms));
    lastTag = finishTag;

    const bool isLong = entry.cls == work_class::Long;
    const auto latestStart = isLong ? entry.deadline : entry.deadline - entry.expected;
    const auto number = m_nextSequence++;
    const auto sizeClass = sizeClassOf(finishTag - service.virtualTime);
    m_waiting.emplace(number, waiting_entry{entry, now, latestStart, startTag, finishTag, sizeClass});
    m_sequences.emplace(entry.id, number);
    m_byLatestStart.emplace(latestStart, number);
    auto &to = service.lanes[isLong ? 1 : 0];
    to.byTag.emplace(finishTag, number);
    to.byFreshness.emplace(sizeClass, -static_cast<std::int64_t>(number));
    service.waiting.insert(number);
    m_backlogMs += entry.expected.ms;
    m_longWaiting += isLong ? 1 : 0;
}

admission_queue::waiting_entry admission_queue::remove(sequence number)
{
    const auto found = m_waiting.find(number);
    auto removed = std::move(found->second);
    m_waiting.erase(found);
    m_sequences.erase(removed.entry.id);
    m_byLatestStart.erase({removed.latestStart, number});
    const bool isLong = removed.entry.cls == work_class::Long;
    auto &service = m_services[removed.entry.service];
    auto &from = service.lanes[isLong ? 1 : 0];
    from.byTag.erase({removed.finishTag, number});
    from.byFreshness.erase({removed.sizeClass, -static_cast<std::int64_t>(number)});
    service.waiting.erase(number);
    m_backlogMs -= removed.entry.expected.ms;
    m_longWaiting -= isLong ? 1 : 0;
    return removed;
}

void admission_queue::refuse(sequence number, refuse_reason reason, queue_actions &actions)
{
    const auto removed = remove(number);
    actions.refuse.push_back({removed.entry.id, reason});
    // Work that was not done is not charged to the caller.
    auto &lastTag = m_services[removed.entry.service].lastTags[removed.entry.caller];
    lastTag = lastTag == removed.finishTag ? removed.startTag : lastTag;
}

/** A full queue is shared fairly too: the service with the most entries gives up its last one. */
bool admission_queue::makeRoom(const service_id &newcomer, queue_actions &actions)
{
    const auto most = std::max_element(m_services.begin(), m_services.end(), [](const auto &a, const auto &b) {
        return a.second.waiting.size() < b.second.waiting.size();
    });
    const auto own = m_services.find(newcomer);
    const auto ownWaiting = own == m_services.end() ? 0 : own->second.waiting.size();
    if (most == m_services.end() || most->second.waiting.size() <= ownWaiting + 1) {
        return false;
    }
    auto &lanes = most->second.lanes;
    const auto &from = lanes[0].byTag.empty() ? lanes[1] : lanes[0];
    refuse(from.byTag.rbegin()->second, refuse_reason::QueueFull, actions);
    return true;
}

queue_actions admission_queue::finish(std::uint64_t id, time_point now)
{
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        const auto &ended = found->second;
        m_longRunning -= ended.cls == work_class::Long ? 1 : 0;
        // A statement below the clock's resolution is charged a millisecond, or such work would be free.
        const auto ran = std::max(duration{1}, now - ended.started);
        m_services[ended.service].tag += static_cast<double>((ran - ended.expected).ms);
        m_running.erase(found);
    }
    return settle(now);
}

queue_actions admission_queue::cancel(std::uint64_t id, time_point now)
{
    const auto found = m_sequences.find(id);
    if (found != m_sequences.end()) {
        queue_actions unused;
        refuse(found->second, refuse_reason::ShuttingDown, unused);
    }
    return settle(now);
}

queue_actions admission_queue::reclassify(std::uint64_t id, time_point now)
{
    const auto found = m_running.find(id);
    if (found != m_running.end() && found->second.cls == work_class::Short) {
        found->second.cls = work_class::Long;
        ++m_longRunning;
    }
    return settle(now);
}

queue_actions admission_queue::setLimit(int limit, time_point now)
{
    m_limit = std::max(1, limit);
    return settle(now);
}

queue_actions admission_queue::setLongPlaces(int places, time_point now)
{
    m_longPlaces = std::max(0, places);
    return settle(now);
}

queue_actions admission_queue::tick(time_point now)
{
    return settle(now);
}

queue_actions admission_queue::refuseAll(refuse_reason reason)
{
    queue_actions actions;
    while (!m_waiting.empty()) {
        refuse(m_waiting.begin()->first, reason, actions);
    }
    return actions;
}

duration admission_queue::backlog() const
{
    return {m_backlogMs / m_limit};
}

queue_actions admission_queue::settle(time_point now, queue_actions actions)
{
    refuseLate(now, actions);
    for (auto &[id, service] : m_services) {
        updateOverload(service, now);
    }
    dispatch(now, actions);
    if (!m_byLatestStart.empty()) {
        actions.wakeAt = m_byLatestStart.begin()->first + duration{1};
    }
    return actions;
}

void admission_queue::refuseLate(time_point now, queue_actions &actions)
{
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < now) {
        const auto number = m_byLatestStart.begin()->second;
        const bool passed = m_waiting.at(number).entry.deadline < now;
        refuse(number, passed ? refuse_reason::DeadlinePassed : refuse_reason::DeadlineCannotBeMet, actions);
    }
}

bool admission_queue::isOverloaded() const
{
    return std::any_of(m_services.begin(), m_services.end(), [](const auto &entry) { return entry.second.overloaded; });
}

void admission_queue::updateOverload(service_state &service, time_point now) const
{
    if (service.waiting.empty()) {
        service.overloaded = false;
        service.leastWait = 0;
        service.intervalStart = now;
        return;
    }
    if (now - service.intervalStart < overloadInterval) {
        return;
    }
    const auto &oldest = m_waiting.at(*service.waiting.begin());
    const auto oldestWait = waitShare(oldest.arrival, oldest.entry.deadline, now);
    // Without a start in the interval the oldest entry tells the wait.
    const auto wait = std::min(service.leastWait, oldestWait);
    service.overloaded = service.overloaded ? oldestWait > overloadOver : wait > overloadAbove;
    service.leastWait = 2;
    service.intervalStart = now;
}

bool admission_queue::mayStart(work_class cls) const
{
    const auto running = static_cast<int>(m_running.size());
    if (cls == work_class::Short) {
        return running < m_limit || running == m_longRunning;
    }
    return running < m_limit && m_longRunning < m_longPlaces && m_longRunning < std::max(1, m_limit - 1);
}

admission_queue::sequence admission_queue::headOf(const service_state &service, const lane &from)
{
    return service.overloaded ? static_cast<sequence>(-from.byFreshness.begin()->second) : from.byTag.begin()->second;
}

std::optional<admission_queue::sequence> admission_queue::headOf(const service_state &service) const
{
    const auto &shorts = service.lanes[0];
    const auto &longs = service.lanes[1];
    const bool startShort = !shorts.byTag.empty() && mayStart(work_class::Short);
    const bool startLong = !longs.byTag.empty() && mayStart(work_class::Long);
    if (startShort && startLong) {
        const bool shortFirst = shorts.byTag.begin()->first <= longs.byTag.begin()->first;
        return headOf(service, shortFirst ? shorts : longs);
    }
    if (startShort || startLong) {
        return headOf(service, startShort ? shorts : longs);
    }
    return std::nullopt;
}

std::optional<admission_queue::sequence> admission_queue::next() const
{
    std::optional<sequence> best;
    double bestTag = 0;
    for (const auto &[id, service] : m_services) {
        if (service.waiting.empty() || (best && service.tag >= bestTag)) {
            continue;
        }
        if (const auto head = headOf(service)) {
            best = head;
            bestTag = service.tag;
        }
    }
    return best;
}

void admission_queue::dispatch(time_point now, queue_actions &actions)
{
    while (const auto number = next()) {
        start(*number, now, actions);
    }
}

void admission_queue::start(sequence number, time_point now, queue_actions &actions)
{
    const auto started = remove(number);
    auto &service = m_services[started.entry.service];
    m_virtualTime = std::max(m_virtualTime, service.tag);
    service.virtualTime = std::max(service.virtualTime, started.finishTag);
    service.leastWait = std::min(service.leastWait, waitShare(started.arrival, started.entry.deadline, now));
    forgetIdleCallers(service);
    startRunning(started.entry, now, actions);
}

void admission_queue::startRunning(const queue_entry &entry, time_point now, queue_actions &actions)
{
    m_services[entry.service].tag += static_cast<double>(entry.expected.ms);
    m_longRunning += entry.cls == work_class::Long ? 1 : 0;
    m_running.emplace(entry.id, running_entry{entry.service, entry.cls, entry.expected, now});
    actions.start.push_back(entry.id);
}

/** A caller whose last tag lies in the past is treated like an unknown one. */
void admission_queue::forgetIdleCallers(service_state &service)
{
    if (service.lastTags.size() < service.waiting.size() * 2 + idleCallers) {
        return;
    }
    std::erase_if(service.lastTags, [&](const auto &known) { return known.second <= service.virtualTime; });
}

}
