#pragma once

#include "loadoptions.h"
#include "loadsession.h"
#include "measurements.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace crocusdeal
{

/** One thread of the load with its own sessions, arrivals and measurements. */
class load_worker
{
public:
    using clock = std::chrono::steady_clock;

    /** @p index of options.threads; ids of sessions and writes are unique among the workers. */
    load_worker(const load_options &options, int index, std::int64_t runId);

    /** Runs the load from @p start on; returns after the last answer or the drain time. */
    void run(clock::time_point start);

    const run_measurements &measurements() const;
    const std::vector<load_session> &sessions() const;
    /** Outcomes of the inserts by their index; their id is firstWriteId() + index. */
    const std::vector<write_outcome> &writes() const;
    std::int64_t firstWriteId() const;

private:
    double now() const;
    bool isLate(const load_request &request) const;
    double rateAt(double at) const;
    void connect(load_session &session);
    void onConnected(load_session &session, bool ok);
    void reconnectLater(load_session &session);
    void becomeReady(load_session &session);
    void scheduleArrival();
    void onArrival();
    work_kind randomKind();
    void dispatch(load_request request);
    void send(load_session &session, load_request request);
    void fill(load_session &session);
    void onDone(load_session &session, const load_request &request, const request_outcome &outcome);
    void recordWrite(load_session &session, const load_request &request, const request_outcome &outcome);
    void checkOwnRead(const load_request &request, const request_outcome &outcome);
    void roam(load_session &session);
    void finishIfDrained();
    void openIdleConnections();
    void closeAll();

    const load_options &m_options;
    int m_index;
    asio::io_context m_context;
    asio::steady_timer m_arrivalTimer;
    asio::steady_timer m_endTimer;
    request_builder m_builder;
    std::mt19937_64 m_random;
    clock::time_point m_start;
    double m_nextArrival = 0;
    bool m_ended = false; ///< No more arrivals.
    bool m_stopped = false; ///< Answers that come now are too late to count.
    std::size_t m_open = 0; ///< Requests queued or sent.
    std::vector<load_session> m_sessions;
    std::vector<load_session *> m_free[2]; ///< Ready sessions; index 1: for stale reads.
    std::deque<load_request> m_queue[2];
    std::vector<write_outcome> m_writes;
    run_measurements m_measurements;
    std::vector<std::shared_ptr<pg_connection>> m_idle;
};

}
