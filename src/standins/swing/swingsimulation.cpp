#include "swingsimulation.h"

#include "placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr double meanRunMs = 8;
constexpr double networkMs = 1; // One way.
constexpr double windowMs = 500;
constexpr double warmUpMs = 3000; // Not measured.
constexpr double firstAnswerMs = 10;
constexpr double answerWeight = 0.1;
constexpr std::size_t longestQueue = 32; // A target refuses what comes on top as busy.

double quantileOf(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

class swing_simulation
{
public:
    explicit swing_simulation(const swing_scenario &what)
        : m_what(what)
        , m_random(what.seed)
        , m_targets(static_cast<std::size_t>(what.targets))
        , m_known(static_cast<std::size_t>(what.choosers), std::vector<knowledge>(m_targets.size()))
        , m_window(m_targets.size())
    {
    }

    swing_outcome run()
    {
        scheduleArrival();
        at(warmUpMs, [this] { endWindow(); });
        while (!m_events.empty() && m_events.top().ms < m_what.endMs) {
            const auto next = m_events.top();
            m_events.pop();
            m_nowMs = next.ms;
            next.work();
        }
        swing_outcome result;
        if (!m_ratios.empty()) {
            const double sum = std::accumulate(m_ratios.begin(), m_ratios.end(), 0.0);
            result.busiestOverMean = sum / static_cast<double>(m_ratios.size());
            result.worstWindow = *std::max_element(m_ratios.begin(), m_ratios.end());
        }
        result.p50Ms = quantileOf(m_latencies, 0.5);
        result.p99Ms = quantileOf(m_latencies, 0.99);
        result.refusedShare = static_cast<double>(m_refused) / std::max(1, m_offered);
        return result;
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

    struct knowledge {
        int inFlight = 0;
        double answerMs = firstAnswerMs;
    };

    struct sent_read {
        std::size_t chooser = 0;
        std::size_t target = 0;
        double sentMs = 0;
    };

    struct target_state {
        int running = 0;
        std::deque<sent_read> queue;
    };

    void at(double inMs, std::function<void()> work)
    {
        m_events.push({m_nowMs + inMs, m_order++, std::move(work)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    std::size_t oneOf(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void scheduleArrival()
    {
        const double perMs = m_what.load * m_what.targets * m_what.slots / meanRunMs;
        at(std::exponential_distribution<>(perMs)(m_random), [this] {
            choose(oneOf(m_known.size()));
            scheduleArrival();
        });
    }

    std::vector<read_candidate> candidatesOf(std::size_t chooser) const
    {
        std::vector<read_candidate> candidates(m_targets.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].index = i;
            candidates[i].inFlight = m_known[chooser][i].inFlight;
            candidates[i].answerMs = m_known[chooser][i].answerMs;
            candidates[i].slots = m_what.slots;
            candidates[i].permits = m_what.slots;
            candidates[i].isLocal = true;
            candidates[i].hasRequiredPosition = true;
            candidates[i].hasIdleConnection = true;
        }
        return candidates;
    }

    std::optional<std::size_t> pick(const std::vector<read_candidate> &candidates)
    {
        switch (m_what.how) {
        case swing_way::LowestCost:
            return placeRead(candidates);
        case swing_way::Spread:
            return spreadRead(candidates, uniform());
        case swing_way::TwoChoices:
            return placeRead({candidates[oneOf(candidates.size())], candidates[oneOf(candidates.size())]});
        case swing_way::Inverse:
            return byInverse(candidates);
        case swing_way::Rendezvous:
            break;
        }
        const auto index = oneOf(candidates.size());
        return placeRead({candidates[index]});
    }

    std::size_t byInverse(const std::vector<read_candidate> &candidates)
    {
        std::vector<double> weights;
        for (const auto &candidate : candidates) {
            const double expected = std::max(1.0, candidate.answerMs) + candidate.inFlight;
            weights.push_back(candidate.inFlight < candidate.permits ? 1 / (expected * expected) : 0);
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    }

    bool isMeasured() const
    {
        return m_nowMs >= warmUpMs;
    }

    void choose(std::size_t chooser)
    {
        const auto target = pick(candidatesOf(chooser));
        m_offered += isMeasured() ? 1 : 0;
        if (!target) {
            m_refused += isMeasured() ? 1 : 0;
            return;
        }
        ++m_known[chooser][*target].inFlight;
        at(networkMs, [this, read = sent_read{chooser, *target, m_nowMs}] { reach(read); });
    }

    void reach(const sent_read &read)
    {
        ++m_window[read.target];
        auto &target = m_targets[read.target];
        if (target.queue.size() >= longestQueue) {
            m_refused += isMeasured() ? 1 : 0;
            at(networkMs, [this, read] { --m_known[read.chooser][read.target].inFlight; });
            return;
        }
        target.queue.push_back(read);
        begin(read.target);
    }

    void begin(std::size_t index)
    {
        auto &target = m_targets[index];
        while (target.running < m_what.slots && !target.queue.empty()) {
            const auto read = target.queue.front();
            target.queue.pop_front();
            ++target.running;
            // Gamma of shape 2: varies about as much as lookups do.
            const double factor = index == 0 ? m_what.slowFactor : 1;
            const double runMs = factor * std::gamma_distribution<>(2, meanRunMs / 2)(m_random);
            at(runMs, [this, read, index] {
                --m_targets[index].running;
                at(networkMs, [this, read] { answered(read); });
                begin(index);
            });
        }
    }

    void answered(const sent_read &read)
    {
        const double tookMs = std::floor(m_nowMs - read.sentMs);
        --m_known[read.chooser][read.target].inFlight;
        if (isMeasured()) {
            m_latencies.push_back(m_nowMs - read.sentMs);
        }
        at(m_what.delayMs, [this, read, tookMs] {
            auto &answerMs = m_known[read.chooser][read.target].answerMs;
            answerMs += answerWeight * (tookMs - answerMs);
        });
    }

    void endWindow()
    {
        const double sum = std::accumulate(m_window.begin(), m_window.end(), 0.0);
        if (m_nowMs > warmUpMs && sum > 0) {
            const double busiest = *std::max_element(m_window.begin(), m_window.end());
            m_ratios.push_back(busiest * static_cast<double>(m_window.size()) / sum);
        }
        std::fill(m_window.begin(), m_window.end(), 0);
        at(windowMs, [this] { endWindow(); });
    }

    swing_scenario m_what;
    std::mt19937 m_random;
    std::vector<target_state> m_targets;
    std::vector<std::vector<knowledge>> m_known; ///< By chooser and target.
    std::vector<double> m_window; ///< Reads that have reached each target in this window.
    std::vector<double> m_ratios;
    std::vector<double> m_latencies;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_nowMs = 0;
    int m_offered = 0;
    int m_refused = 0;
};

}

swing_outcome simulateSwing(const swing_scenario &what)
{
    return swing_simulation(what).run();
}

}
