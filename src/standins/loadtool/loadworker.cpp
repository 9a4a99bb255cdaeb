#include "loadworker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Ids of one worker start at a multiple of this. */
constexpr std::int64_t idsPerWorker = 1'000'000'000;
constexpr auto reconnectPause = std::chrono::milliseconds(50);

bool isWrite(work_kind kind)
{
    return kind == work_kind::Write || kind == work_kind::Transaction;
}

}

load_worker::load_worker(const load_options &options, int index, std::int64_t runId)
    : m_options(options)
    , m_index(index)
    , m_context(1)
    , m_arrivalTimer(m_context)
    , m_endTimer(m_context)
    , m_builder(options, runId)
    , m_random(options.seed * 1000003 + static_cast<std::uint64_t>(index))
{
    const int first = options.connections * index / options.threads;
    const int last = options.connections * (index + 1) / options.threads;
    m_sessions.resize(static_cast<std::size_t>(last - first));
    // Stale reads get the share of the sessions that they have of the demand, at least one.
    const auto staleWeight = options.weights[static_cast<std::size_t>(work_kind::StaleRead)];
    double total = 0;
    for (const auto weight : options.weights) {
        total += weight;
    }
    const auto count = static_cast<double>(m_sessions.size());
    auto stale = static_cast<std::size_t>(std::lround(count * staleWeight / total));
    stale = staleWeight > 0 ? std::max<std::size_t>(stale, 1) : 0;
    for (std::size_t i = 0; i < m_sessions.size(); ++i) {
        m_sessions[i].id = index * idsPerWorker + static_cast<std::int64_t>(i);
        m_sessions[i].stale = i < stale;
        m_sessions[i].address = (static_cast<std::size_t>(first) + i) % options.addresses.size();
    }
}

double load_worker::now() const
{
    return std::chrono::duration<double>(clock::now() - m_start).count();
}

std::int64_t load_worker::firstWriteId() const
{
    return m_index * idsPerWorker;
}

const run_measurements &load_worker::measurements() const
{
    return m_measurements;
}

const std::vector<load_session> &load_worker::sessions() const
{
    return m_sessions;
}

const std::vector<write_outcome> &load_worker::writes() const
{
    return m_writes;
}

void load_worker::run(clock::time_point start)
{
    m_start = start;
    for (auto &session : m_sessions) {
        connect(session);
    }
    openIdleConnections();
    m_endTimer.expires_at(start + std::chrono::milliseconds(static_cast<std::int64_t>(m_options.durationS * 1000)));
    m_endTimer.async_wait([this](asio::error_code) {
        m_ended = true;
        m_arrivalTimer.cancel();
        m_endTimer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(m_options.drainS * 1000)));
        m_endTimer.async_wait([this](asio::error_code) { m_context.stop(); });
        finishIfDrained();
    });
    if (m_options.closedLoop) {
        m_arrivalTimer.expires_at(start);
        m_arrivalTimer.async_wait([this](asio::error_code) {
            for (auto &session : m_sessions) {
                fill(session);
            }
        });
    } else {
        scheduleArrival();
    }
    m_context.run();
    closeAll();
}

void load_worker::closeAll()
{
    m_stopped = true;
    for (auto &session : m_sessions) {
        session.connection->close();
    }
    for (const auto &connection : m_idle) {
        connection->close();
    }
    m_context.restart();
    m_context.poll();
}

void load_worker::openIdleConnections()
{
    const int share = m_options.idleConnections / m_options.threads
        + (m_index < m_options.idleConnections % m_options.threads ? 1 : 0);
    for (int i = 0; i < share; ++i) {
        auto connection = std::make_shared<pg_connection>(m_context, std::chrono::milliseconds(m_options.timeoutMs));
        const auto &address = m_options.addresses[static_cast<std::size_t>(i) % m_options.addresses.size()];
        connection->open(connectionString(m_options, address, {}), false, [this](bool ok) {
            m_measurements.connectFailures += ok ? 0 : 1;
        });
        m_idle.push_back(std::move(connection));
    }
}

void load_worker::connect(load_session &session)
{
    if (session.connection) {
        session.connection->close();
    }
    session.connection = std::make_shared<pg_connection>(m_context, std::chrono::milliseconds(m_options.timeoutMs));
    session.requests = 0;
    const auto &address = m_options.addresses[session.address];
    session.connection->open(connectionString(m_options, address, m_options.token ? session.token : std::string()),
                             m_options.pipeline > 1,
                             [this, &session](bool ok) { onConnected(session, ok); });
}

void load_worker::onConnected(load_session &session, bool ok)
{
    if (!ok) {
        ++m_measurements.connectFailures;
        reconnectLater(session);
        return;
    }
    if (!session.stale) {
        becomeReady(session);
        return;
    }
    const auto set = "SET crocusdeal.max_staleness = '" + std::to_string(m_options.stalenessMs) + "'";
    session.connection->run({{set, {}, {}}}, false, [this, &session](const request_outcome &outcome) {
        outcome.sqlState.empty() ? becomeReady(session) : reconnectLater(session);
    });
}

void load_worker::reconnectLater(load_session &session)
{
    session.address = (session.address + 1) % m_options.addresses.size();
    const auto timer = std::make_shared<asio::steady_timer>(m_context, reconnectPause);
    timer->async_wait([this, &session, timer](asio::error_code) {
        if (!m_stopped) {
            ++m_measurements.reconnects;
            connect(session);
        }
    });
}

void load_worker::becomeReady(load_session &session)
{
    if (m_options.closedLoop) {
        fill(session);
        return;
    }
    auto &queue = m_queue[session.stale ? 1 : 0];
    while (m_options.giveUp && !queue.empty() && isLate(queue.front())) {
        m_measurements.kinds[static_cast<std::size_t>(queue.front().kind)].onRefused("gave-up");
        ++m_measurements.second(now()).refused;
        --m_open;
        queue.pop_front();
    }
    if (queue.empty()) {
        m_free[session.stale ? 1 : 0].push_back(&session);
        return;
    }
    auto next = std::move(queue.front());
    queue.pop_front();
    send(session, std::move(next));
}

bool load_worker::isLate(const load_request &request) const
{
    return (now() - request.arrivalS) * 1000 > static_cast<double>(m_options.deadlineMs);
}

double load_worker::rateAt(double at) const
{
    const auto &o = m_options;
    const auto ramp = [&o](double since) {
        return o.swingRampS <= 0 ? (since >= 0 ? 1.0 : 0.0) : std::clamp(since / o.swingRampS, 0.0, 1.0);
    };
    const double swung = ramp(at - o.swingStartS) - ramp(at - o.swingEndS);
    return o.rate * (1 + (o.swing - 1) * swung) / o.threads;
}

void load_worker::scheduleArrival()
{
    // Thinning: arrivals at the highest rate, of which the share rateAt() / highest is kept, form a Poisson process of
    // varying rate.
    const double highest = m_options.rate * std::max(1.0, m_options.swing) / m_options.threads;
    std::exponential_distribution<double> pause(highest);
    std::uniform_real_distribution<double> share(0, 1);
    do {
        m_nextArrival += pause(m_random);
    } while (share(m_random) * highest > rateAt(m_nextArrival));
    m_arrivalTimer.expires_at(
        m_start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(m_nextArrival)));
    m_arrivalTimer.async_wait([this](asio::error_code error) {
        if (!error && !m_ended) {
            onArrival();
        }
    });
}

void load_worker::onArrival()
{
    load_request request;
    request.kind = randomKind();
    request.arrivalS = m_nextArrival;
    dispatch(std::move(request));
    scheduleArrival();
}

work_kind load_worker::randomKind()
{
    std::discrete_distribution<int> kinds(m_options.weights.begin(), m_options.weights.end());
    return static_cast<work_kind>(kinds(m_random));
}

void load_worker::dispatch(load_request request)
{
    ++m_open;
    m_measurements.kinds[static_cast<std::size_t>(request.kind)].onSent();
    ++m_measurements.second(request.arrivalS).sent;
    const std::size_t group = request.kind == work_kind::StaleRead ? 1 : 0;
    while (!m_free[group].empty()) {
        // The connection used last, so that a low rate leaves others idle as a pool does.
        auto *session = m_free[group].back();
        m_free[group].pop_back();
        if (session->connection->isOpen()) {
            send(*session, std::move(request));
            return;
        }
        reconnectLater(*session);
    }
    m_queue[group].push_back(std::move(request));
}

void load_worker::fill(load_session &session)
{
    while (!m_ended && now() >= 0 && session.connection->isOpen() && session.inFlight < m_options.pipeline) {
        load_request request;
        do {
            request.kind = randomKind();
        } while (!session.stale && request.kind == work_kind::StaleRead);
        if (session.stale) {
            request.kind = work_kind::StaleRead;
        }
        request.arrivalS = now();
        ++m_open;
        m_measurements.kinds[static_cast<std::size_t>(request.kind)].onSent();
        ++m_measurements.second(request.arrivalS).sent;
        send(session, std::move(request));
    }
}

void load_worker::send(load_session &session, load_request request)
{
    ++session.inFlight;
    ++session.requests;
    std::int64_t writeId = 0;
    if (request.kind == work_kind::Write) {
        request.write = m_writes.size();
        writeId = firstWriteId() + static_cast<std::int64_t>(request.write);
        m_writes.push_back(write_outcome::Unknown);
    }
    std::uniform_real_distribution<double> share(0, 1);
    request.ownRead = request.kind == work_kind::PointRead && share(m_random) < m_options.ownReads;
    request.acknowledgedBefore = session.acknowledged;
    const auto item = std::uniform_int_distribution<std::int64_t>(1, m_options.items)(m_random);
    m_builder.build(request, session, item, writeId);
    auto calls = request.calls;
    session.connection->run(std::move(calls),
                            m_options.protocol == query_protocol::Simple,
                            [this, &session, request = std::move(request)](const request_outcome &outcome) {
                                onDone(session, request, outcome);
                            });
}

void load_worker::onDone(load_session &session, const load_request &request, const request_outcome &outcome)
{
    --session.inFlight;
    --m_open;
    if (m_stopped) {
        recordWrite(session, request, outcome);
        return;
    }
    const double at = now();
    auto &kind = m_measurements.kinds[static_cast<std::size_t>(request.kind)];
    if (outcome.sqlState.empty()) {
        const double latencyMs = (at - request.arrivalS) * 1000;
        kind.onAnswered(latencyMs, latencyMs <= static_cast<double>(m_options.deadlineMs));
        ++m_measurements.second(at).answered;
        if (isWrite(request.kind)) {
            m_measurements.writeTimesS.push_back(at);
        }
        checkOwnRead(request, outcome);
    } else {
        kind.onRefused(outcome.sqlState);
        ++m_measurements.second(at).refused;
    }
    recordWrite(session, request, outcome);
    if (m_options.token && session.connection->isOpen()) {
        session.token = session.connection->parameterStatus("crocusdeal.session");
    }
    if (!session.connection->isOpen()) {
        if (session.inFlight == 0) {
            reconnectLater(session);
        }
    } else if (m_options.roamAfter > 0 && session.requests >= m_options.roamAfter && session.inFlight == 0) {
        roam(session);
    } else if (m_options.roamAfter == 0 || session.requests < m_options.roamAfter) {
        becomeReady(session);
    }
    finishIfDrained();
}

void load_worker::recordWrite(load_session &session, const load_request &request, const request_outcome &outcome)
{
    if (!isWrite(request.kind)) {
        return;
    }
    const auto known = writeOutcomeOf(outcome, request.calls.size(), m_options.pipeline > 1);
    if (request.kind == work_kind::Write) {
        m_writes[request.write] = known;
        return;
    }
    session.acknowledged += known == write_outcome::Acknowledged ? 1 : 0;
    session.unknown += known == write_outcome::Unknown ? 1 : 0;
}

void load_worker::checkOwnRead(const load_request &request, const request_outcome &outcome)
{
    const bool transaction = request.kind == work_kind::Transaction;
    if (!request.ownRead && !transaction) {
        return;
    }
    const std::size_t index = transaction ? 1 : 0;
    const auto &value = index < outcome.values.size() ? outcome.values[index] : std::string();
    if (value.empty() || std::stoull(value) < request.acknowledgedBefore) {
        ++m_measurements.staleOwnReads;
    }
}

void load_worker::roam(load_session &session)
{
    session.connection->close();
    reconnectLater(session);
}

void load_worker::finishIfDrained()
{
    if (m_ended && m_open == 0) {
        m_context.stop();
    }
}

}
