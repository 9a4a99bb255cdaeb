#include "simulation.h"

#include "admissionqueue.h"
#include "concurrencylimit.h"
#include "permitholder.h"
#include "permitledger.h"
#include "preemptionpolicy.h"
#include "statementcosts.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::array shapeMeansMs{2.0, 4.0, 8.0, 12.0};
constexpr std::uint64_t longFingerprint = 100;
constexpr double pollMs = 5;
constexpr double reclassifyMs = 50;
constexpr double preemptionCheckMs = 10;
// A cancel request opens a connection of its own: a round trip, and the way of the request.
constexpr double cancelLatencies = 3;

struct sim_request {
    std::size_t load = 0;
    std::size_t instance = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t caller = 0;
    double costMs = 0;
    double arrivalMs = 0; ///< When the caller sent it.
    double startedMs = 0; ///< When the instance sent it to the target.
    bool isLong = false;
    bool measured = false;
    bool countsAsLong = false; ///< Runs under a permit.
    bool wasPreempted = false;
    bool cancelSent = false;
    bool inSlot = false;
};

struct instance_state {
    explicit instance_state(const scenario &what, const std::string &name)
        : limit({what.where.slots, what.where.instances})
        , holder(target_id("t"), instance_id(name), 1)
    {
    }

    admission_queue queue;
    statement_costs costs;
    concurrency_limit limit;
    permit_holder holder;
    preemption_policy preemption;
    std::vector<std::uint64_t> running;
    double wakeAtMs = -1;
};

double quantileOf(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

class simulation
{
public:
    explicit simulation(const scenario &what)
        : m_what(what)
        , m_random(what.seed)
        , m_outcomes(what.loads.size())
    {
        for (int i = 0; i < what.where.instances; ++i) {
            m_instances.push_back(std::make_unique<instance_state>(what, "i" + std::to_string(i)));
            m_instances.back()->holder.setOwner(instance_id("i0"));
        }
        permit_ledger_settings settings;
        settings.slots = what.where.slots;
        settings.settling = duration{0};
        m_ledger = std::make_unique<permit_ledger>(
            target_id("t"), instance_id("i0"), 1, std::vector<instance_id>{}, settings, now());
    }

    std::vector<outcome> run()
    {
        for (std::size_t i = 0; i < m_what.loads.size(); ++i) {
            scheduleArrival(i);
        }
        if (m_what.how != policy::Naive) {
            at(pollMs, [this] { poll(); });
            at(checkMs(), [this] { reclassify(); });
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                apply(i, m_instances[i]->queue.setLimit(limitOf(*m_instances[i]), now()));
            }
        }
        // After the end, what is on its way still counts.
        while (!m_events.empty() && m_events.top().ms < m_what.endMs + 2 * m_what.deadlineMs) {
            auto next = m_events.top();
            m_events.pop();
            m_nowMs = next.ms;
            next.work();
        }
        return std::move(m_outcomes);
    }

private:
    struct event {
        double ms = 0;
        std::uint64_t order = 0;
        std::function<void()> work;

        bool operator<(const event &other) const
        {
            return std::pair(ms, order) > std::pair(other.ms, other.order);
        }
    };

    time_point now() const
    {
        return {static_cast<std::int64_t>(m_nowMs)};
    }

    void at(double inMs, std::function<void()> work)
    {
        m_events.push({m_nowMs + inMs, m_order++, std::move(work)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    double rateAt(const load &of, double ms) const
    {
        const auto &rate = of.rate;
        const auto next = std::find_if(rate.begin(), rate.end(), [&](const auto &p) { return p.atMs > ms; });
        if (next == rate.begin() || next == rate.end()) {
            return next == rate.end() ? rate.back().perSecond : rate.front().perSecond;
        }
        const auto &before = *(next - 1);
        const double part = (ms - before.atMs) / (next->atMs - before.atMs);
        return before.perSecond + part * (next->perSecond - before.perSecond);
    }

    /** Poisson arrivals whose rate changes, by thinning (Lewis and Shedler 1979). */
    void scheduleArrival(std::size_t index)
    {
        const auto &of = m_what.loads[index];
        const auto highest = std::max_element(
            of.rate.begin(), of.rate.end(), [](const auto &a, const auto &b) { return a.perSecond < b.perSecond; });
        const double gapMs = std::exponential_distribution<>(highest->perSecond / 1000)(m_random);
        if (m_nowMs + gapMs > m_what.endMs) {
            return;
        }
        at(gapMs, [this, index, peak = highest->perSecond] {
            if (uniform() * peak < rateAt(m_what.loads[index], m_nowMs)) {
                arrive(index);
            }
            scheduleArrival(index);
        });
    }

    double longMs()
    {
        return 500 + 1000 * uniform();
    }

    void arrive(std::size_t index)
    {
        const auto &of = m_what.loads[index];
        const auto shape = static_cast<std::size_t>(uniform() * shapeMeansMs.size());
        sim_request request;
        request.load = index;
        request.instance = static_cast<std::size_t>(uniform() * static_cast<double>(m_instances.size()));
        request.isLong = of.isLong;
        request.fingerprint = of.isLong ? longFingerprint : shape + 1;
        request.caller = static_cast<std::uint64_t>(uniform() * 20);
        request.arrivalMs = m_nowMs;
        request.measured = m_nowMs >= m_what.measureFromMs;
        // Gamma of shape 2: varies about as much as lookups do.
        request.costMs = std::gamma_distribution<>(2, shapeMeansMs[shape] / 2)(m_random);
        if (request.measured) {
            request.costMs *= of.slowFactor;
        }
        if (of.isLong || uniform() < of.stragglerShare) {
            request.costMs = longMs();
        }
        m_outcomes[index].offered += request.measured ? 1 : 0;
        const auto id = ++m_lastId;
        m_requests.emplace(id, request);
        at(m_what.where.callerLatencyMs, [this, id] { m_what.how == policy::Naive ? send(id) : submit(id); });
    }

    void submit(std::uint64_t id)
    {
        auto &request = m_requests.at(id);
        auto &instance = *m_instances[request.instance];
        const auto cost = instance.costs.estimate(request.fingerprint);
        request.countsAsLong = cost.isLong || request.wasPreempted;
        if (!request.wasPreempted) {
            instance.preemption.onRequest(now());
        }
        queue_entry entry;
        entry.id = id;
        entry.service = service_id(m_what.loads[request.load].service);
        entry.caller = m_what.how == policy::FifoOrder ? 0 : request.caller;
        entry.cls = request.countsAsLong ? work_class::Long : work_class::Short;
        entry.expected = m_what.how == policy::FifoOrder ? duration{1} : cost.expected;
        entry.deadline = time_point{static_cast<std::int64_t>(request.arrivalMs + m_what.deadlineMs - 2)};
        apply(request.instance, instance.queue.submit(entry, now()));
    }

    void apply(std::size_t index, const queue_actions &actions)
    {
        auto &instance = *m_instances[index];
        for (const auto &refusal : actions.refuse) {
            auto &request = m_requests.at(refusal.id);
            if (request.measured) {
                ++m_outcomes[request.load].refused;
                m_outcomes[request.load].refusedAfterMs.push_back(m_nowMs - request.arrivalMs);
            }
            m_requests.erase(refusal.id);
        }
        for (const auto id : actions.start) {
            instance.running.push_back(id);
            send(id);
        }
        if (actions.wakeAt
            && (instance.wakeAtMs < m_nowMs || static_cast<double>(actions.wakeAt->ms) < instance.wakeAtMs)) {
            instance.wakeAtMs = std::max(m_nowMs + 0.1, static_cast<double>(actions.wakeAt->ms));
            at(instance.wakeAtMs - m_nowMs, [this, index] { apply(index, m_instances[index]->queue.tick(now())); });
        }
    }

    void send(std::uint64_t id)
    {
        m_requests.at(id).startedMs = m_nowMs;
        at(m_what.where.latencyMs, [this, id] {
            m_targetQueue.push_back(id);
            runTarget();
        });
    }

    void runTarget()
    {
        while (m_busySlots < m_what.where.slots && !m_targetQueue.empty()) {
            ++m_busySlots;
            const auto id = m_targetQueue.front();
            m_targetQueue.pop_front();
            auto &request = m_requests.at(id);
            request.inSlot = true;
            at(request.costMs, [this, id, attempt = request.wasPreempted] {
                const auto found = m_requests.find(id);
                // A cancelled attempt has left its slot before.
                if (found == m_requests.end() || !found->second.inSlot || found->second.wasPreempted != attempt) {
                    return;
                }
                leaveSlot(found->second);
                at(m_what.where.latencyMs, [this, id] { finish(id); });
            });
        }
    }

    void leaveSlot(sim_request &request)
    {
        request.inSlot = false;
        --m_busySlots;
        runTarget();
    }

    void preempt(std::uint64_t id)
    {
        m_requests.at(id).cancelSent = true;
        at(cancelLatencies * m_what.where.latencyMs, [this, id] {
            const auto found = m_requests.find(id);
            const bool isQueued = std::erase(m_targetQueue, id) > 0;
            if (found == m_requests.end() || (!isQueued && !found->second.inSlot)) {
                return; // The answer is on its way.
            }
            if (found->second.inSlot) {
                leaveSlot(found->second);
            }
            at(m_what.where.latencyMs, [this, id] { onPreempted(id); });
        });
    }

    void onPreempted(std::uint64_t id)
    {
        auto &request = m_requests.at(id);
        auto &instance = *m_instances[request.instance];
        std::erase(instance.running, id);
        request.wasPreempted = true;
        m_outcomes[request.load].preempted += request.measured ? 1 : 0;
        const duration ran{std::lround(m_nowMs - request.startedMs)};
        instance.costs.recordAborted(request.fingerprint, ran, now());
        apply(request.instance, instance.queue.finish(id, now()));
        submit(id);
    }

    void finish(std::uint64_t id)
    {
        const auto request = m_requests.at(id);
        m_requests.erase(id);
        const double latency = m_nowMs + m_what.where.callerLatencyMs - request.arrivalMs;
        auto &result = m_outcomes[request.load];
        // Long work has to start in time, as it may take longer than the deadline.
        const bool inTime = latency - (request.isLong ? request.costMs : 0) <= m_what.deadlineMs;
        if (inTime && m_nowMs >= m_what.measureFromMs && m_nowMs <= m_what.endMs) {
            result.workInTimeMs += request.costMs;
        }
        if (request.measured) {
            ++(inTime ? result.inTime : result.late);
            result.latenciesMs.push_back(latency);
        }
        if (m_what.how != policy::Naive) {
            afterFinish(id, request);
        }
    }

    void afterFinish(std::uint64_t id, const sim_request &request)
    {
        auto &instance = *m_instances[request.instance];
        const auto running = static_cast<int>(instance.running.size());
        std::erase(instance.running, id);
        const duration ran{std::lround(m_nowMs - request.startedMs)};
        instance.limit.onFinished(ran, instance.costs.baseline(request.fingerprint), running, now());
        instance.costs.record(request.fingerprint, ran, now());
        if (request.countsAsLong) {
            instance.holder.onStatementFinished();
            apply(request.instance, instance.queue.setLongPlaces(longPlaces(instance), now()));
        }
        apply(request.instance, instance.queue.finish(id, now()));
        apply(request.instance, instance.queue.setLimit(limitOf(instance), now()));
    }

    int limitOf(const instance_state &instance) const
    {
        return m_what.how == policy::StaticLimit ? m_what.where.slots : instance.limit.limit();
    }

    int longPlaces(const instance_state &instance) const
    {
        return m_what.how == policy::LocalReserve ? std::max(1, m_what.where.slots - 1) : instance.holder.places(now());
    }

    void poll()
    {
        m_ledger->tick(now());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            auto &instance = *m_instances[i];
            instance.holder.setWanted(instance.queue.longDemand());
            apply(i, instance.queue.setLongPlaces(longPlaces(instance), now()));
            if (const auto request = instance.holder.poll(now())) {
                at(m_what.where.latencyMs, [this, request = *request, i] {
                    if (const auto grant = m_ledger->onRequest(request, now())) {
                        at(m_what.where.latencyMs, [this, grant = *grant, i] {
                            m_instances[i]->holder.onGrant(grant);
                            apply(i, m_instances[i]->queue.setLongPlaces(longPlaces(*m_instances[i]), now()));
                        });
                    }
                });
            }
        }
        if (m_nowMs < m_what.endMs + m_what.deadlineMs) {
            at(pollMs, [this] { poll(); });
        }
    }

    bool preempts() const
    {
        return m_what.how != policy::NoPreemption && m_what.how != policy::LocalReserve;
    }

    double checkMs() const
    {
        return preempts() ? preemptionCheckMs : reclassifyMs;
    }

    void reclassify()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            auto &instance = *m_instances[i];
            for (const auto id : std::vector(instance.running)) {
                auto &request = m_requests.at(id);
                const duration ranFor{static_cast<std::int64_t>(m_nowMs - request.startedMs)};
                const bool overruns = preempts()
                    && instance.preemption.isOverrunning(ranFor, instance.costs.estimate(request.fingerprint).high);
                if (!request.countsAsLong
                    && (overruns || instance.costs.estimateRunning(request.fingerprint, ranFor).isLong)) {
                    request.countsAsLong = true;
                    apply(i, instance.queue.reclassify(id, now()));
                }
            }
            if (preempts()) {
                preemptOne(instance);
            }
        }
        if (m_nowMs < m_what.endMs + m_what.deadlineMs) {
            at(checkMs(), [this] { reclassify(); });
        }
    }

    void preemptOne(instance_state &instance)
    {
        const permit_pressure pressure{
            instance.queue.longRunning(), longPlaces(instance), instance.holder.isDenied(now())};
        int before = 0;
        for (const auto id : instance.running) {
            const auto &request = m_requests.at(id);
            if (!request.countsAsLong) {
                continue;
            }
            if (request.cancelSent && !request.wasPreempted) {
                return;
            }
            const preemption_traits traits{true, false, false, false, false, request.cancelSent};
            if (instance.preemption.tryPreempt(traits, pressure, before++, now())) {
                preempt(id);
                return;
            }
        }
    }

    const scenario &m_what;
    std::mt19937 m_random;
    std::vector<outcome> m_outcomes;
    std::vector<std::unique_ptr<instance_state>> m_instances;
    std::unique_ptr<permit_ledger> m_ledger;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_nowMs = 0;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, sim_request> m_requests;
    std::deque<std::uint64_t> m_targetQueue;
    int m_busySlots = 0;
};

}

double outcome::quantile(double q) const
{
    return quantileOf(latenciesMs, q);
}

double outcome::refusedQuantile(double q) const
{
    return quantileOf(refusedAfterMs, q);
}

double outcome::inTimeShare() const
{
    return offered == 0 ? 0 : static_cast<double>(inTime) / offered;
}

double meanShortMs()
{
    return std::accumulate(shapeMeansMs.begin(), shapeMeansMs.end(), 0.0) / shapeMeansMs.size();
}

std::vector<outcome> simulate(const scenario &what)
{
    return simulation(what).run();
}

}
