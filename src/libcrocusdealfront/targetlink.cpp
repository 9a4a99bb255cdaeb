#include "targetlink.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration openingLimit{1000};

}

target_link::target_link(asio::io_context &io, deadline_queue &deadlines, const target_protocol &protocol)
    : m_deadlines(deadlines)
    , m_protocol(protocol)
    , m_stream(std::make_shared<byte_stream>(io))
{
}

void target_link::open(const host_port &address,
                       const std::string &service,
                       const workspace_id &owner,
                       const std::string &expectedTarget,
                       std::function<void(const link_opening &)> done)
{
    m_opening = std::move(done);
    workspace = owner;
    const auto self = shared_from_this();
    m_stream->onData = [self](std::string &inbound) { self->handleMessages(inbound); };
    m_stream->onClosed = [self](const std::string &reason) { self->end(reason); };
    m_openingLimit = m_deadlines.scheduleAfter(openingLimit, [self] { self->end("start-up timed out"); });
    m_stream->connect(address, [self, service, expectedTarget] {
        std::string startup;
        self->m_protocol.addStartup(startup, service, self->workspace.str(), expectedTarget);
        self->m_stream->send(startup);
    });
}

void target_link::send(std::string_view encoded, std::function<void(target_reply)> done)
{
    if (m_isEnded) {
        target_reply lost;
        lost.isLost = true;
        lost.reason = "connection has ended";
        done(std::move(lost));
        return;
    }
    m_pending.push_back({std::move(done), systemNow()});
    m_stream->send(encoded);
}

void target_link::close(const std::string &reason)
{
    end(reason);
}

bool target_link::isOpen() const
{
    return !m_isEnded && !m_opening;
}

bool target_link::isIdle() const
{
    return isOpen() && m_pending.empty();
}

time_point target_link::oldestPendingAt() const
{
    return m_pending.empty() ? never : m_pending.front().sentAt;
}

void target_link::handleMessages(std::string &inbound)
{
    std::size_t taken = 0;
    while (!m_isEnded) {
        std::size_t used = 0;
        target_message message;
        const auto status = m_protocol.decode(std::string_view(inbound).substr(taken), used, message);
        if (status == decode_status::Incomplete) {
            break;
        }
        if (status != decode_status::Decoded) {
            end("answer cannot be read");
            break;
        }
        taken += used;
        handleMessage(message);
    }
    inbound.erase(0, taken);
}

void target_link::handleMessage(const target_message &message)
{
    if (const auto *row = std::get_if<target_row>(&message)) {
        m_reply.rows.emplace_back(row->text);
        return;
    }
    if (const auto *complete = std::get_if<target_complete>(&message)) {
        m_reply.signature = std::string(complete->signature);
        return;
    }
    if (const auto *error = std::get_if<target_error>(&message)) {
        if (m_opening) {
            finishOpening({false, error->code, false, std::string(error->text)});
            end("refused at start-up");
            return;
        }
        m_reply.error = error->code;
        m_reply.errorText = std::string(error->text);
        return;
    }
    const auto &ready = std::get<target_ready>(message);
    m_reply.state = ready.state;
    m_reply.at = ready.at;
    lastAnswerAt = systemNow();
    lastPosition = ready.at.value_or(lastPosition);
    if (m_opening) {
        openedAt = lastAnswerAt;
        m_reply = {};
        finishOpening({true, std::nullopt, false, {}});
        return;
    }
    finishReply();
}

void target_link::finishReply()
{
    if (m_pending.empty()) {
        end("answer to nothing");
        return;
    }
    auto reply = std::exchange(m_reply, {});
    auto pending = std::move(m_pending.front());
    m_pending.pop_front();
    reply.sentAt = pending.sentAt;
    if (!reply.error && !reply.signature) {
        reply.isLost = true;
        reply.reason = "answer without an outcome";
    }
    pending.done(std::move(reply));
}

void target_link::finishOpening(const link_opening &opening)
{
    m_deadlines.cancel(m_openingLimit);
    const auto done = std::exchange(m_opening, nullptr);
    done(opening);
}

void target_link::end(const std::string &reason)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    const auto self = shared_from_this();
    m_stream->close();
    if (m_opening) {
        finishOpening({false, std::nullopt, m_stream->wasConnectionRefused(), reason});
    }
    auto pending = std::exchange(m_pending, {});
    for (auto &entry : pending) {
        target_reply lost;
        lost.isLost = true;
        lost.reason = reason;
        lost.sentAt = entry.sentAt;
        entry.done(std::move(lost));
    }
    const auto ended = std::exchange(onEnded, nullptr);
    if (ended) {
        ended();
    }
}

}
