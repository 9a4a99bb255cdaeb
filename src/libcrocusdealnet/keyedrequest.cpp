#include "keyedrequest.h"

#include "systemclock.h"
#include "targetstate.h"

#include <asio/bind_executor.hpp>
#include <asio/write.hpp>

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t readBytes = std::size_t{16} * 1024;
constexpr const char *undefinedTable = "42P01";

/** The command tag of the last statement, or the first value of the first row. */
struct step_answer {
    std::string commandTag;
    std::optional<std::string> value;
};

step_answer parseAnswer(const std::string &frames)
{
    step_answer answer;
    frame_reader reader(frames.size() + 1);
    reader.append(frames);
    while (const auto frame = reader.next()) {
        payload_reader fields(frame->payload);
        if (frame->type == 'C') {
            answer.commandTag = std::string(fields.readString());
        }
        if (frame->type == 'D' && !answer.value && fields.readInt16() > 0) {
            const auto size = fields.readInt32();
            if (size >= 0) {
                answer.value = std::string(fields.readBytes(static_cast<std::size_t>(size)));
            }
        }
    }
    return answer;
}

}

keyed_request::keyed_request(asio::any_io_executor executor,
                             std::string key,
                             const request_batch &batch,
                             const statement_map &statements,
                             observe_hook observe)
    : m_executor(std::move(executor))
    , m_keyText(std::move(key))
    , m_batch(batch)
    , m_statements(statements)
    , m_observe(std::move(observe))
{
}

void keyed_request::run(std::shared_ptr<target_connection> connection, std::function<bool()> mayRetry, handler done)
{
    m_connection = std::move(connection);
    m_mayRetry = std::move(mayRetry);
    m_done = std::move(done);
    begin();
}

key_step keyed_request::onNotConfirmed(bool mayRetry)
{
    return m_key.onConnectionLost(mayRetry);
}

void keyed_request::begin()
{
    sendText(request_key_statements::begin, &keyed_request::claim);
}

void keyed_request::claim()
{
    sendText(request_key_statements::claim(m_keyText), &keyed_request::onClaimed);
}

void keyed_request::onClaimed()
{
    if (const auto &error = m_relay.error()) {
        if (error->sqlState == undefinedTable && !std::exchange(m_tableCreated, true)) {
            sendText(request_key_statements::rollback, &keyed_request::createTable);
            return;
        }
        fail(*error);
        return;
    }
    const bool inserted = parseAnswer(m_received).commandTag == "INSERT 0 1";
    if (m_key.onClaimed(inserted) == key_step::Run) {
        runBatch();
        return;
    }
    sendText(request_key_statements::rollback, &keyed_request::find);
}

void keyed_request::createTable()
{
    sendText(request_key_statements::createTable, &keyed_request::begin);
}

void keyed_request::runBatch()
{
    if (m_batch.isSimple()) {
        m_relay.beginSimple(false);
        send(std::string(m_batch.allBytes()), &keyed_request::onBatchRun);
        return;
    }
    auto translated = m_statements.translate(m_batch, m_connection->prepared(), m_connection->unnamedStatement());
    m_relay.beginExtended(translated, false);
    send(std::move(translated.bytes), &keyed_request::onBatchRun);
}

void keyed_request::onBatchRun()
{
    if (const auto &error = m_relay.error()) {
        fail(*error);
        return;
    }
    request_outcome outcome;
    outcome.commandTag = parseAnswer(m_received).commandTag;
    outcome.frames = std::move(m_received);
    m_key.onRun(std::move(outcome));
    store();
}

void keyed_request::store()
{
    sendText(request_key_statements::store(m_keyText, m_key.outcome()), &keyed_request::onStored);
}

void keyed_request::onStored()
{
    if (const auto &error = m_relay.error()) {
        fail(*error);
        return;
    }
    m_key.onStored();
    sendText(request_key_statements::commit, &keyed_request::onCommitted);
}

void keyed_request::onCommitted()
{
    if (const auto &error = m_relay.error()) {
        fail(*error);
        return;
    }
    answer(m_key.onCommitted());
}

void keyed_request::find()
{
    sendText(request_key_statements::find(m_keyText), &keyed_request::onFound);
}

void keyed_request::onFound()
{
    if (const auto &error = m_relay.error()) {
        fail(*error);
        return;
    }
    m_found = parseAnswer(m_received).value;
    const auto state = parseTargetState(m_connection->lastGroupState());
    if (m_found && state && isUnwrittenPrimary(*state)) {
        sendText(request_key_statements::rewrite(m_keyText), &keyed_request::onRewritten);
        return;
    }
    answer(m_key.onFound(m_found));
}

void keyed_request::onRewritten()
{
    if (const auto &error = m_relay.error()) {
        fail(*error);
        return;
    }
    answer(m_key.onFound(m_found));
}

void keyed_request::fail(const pg_error &error)
{
    m_errorFrames = std::move(m_received);
    const auto step = m_key.onError(error.sqlState, m_mayRetry());
    if (step == key_step::AnswerError) {
        sendText(request_key_statements::rollback, &keyed_request::rollBackAndAnswerError);
        return;
    }
    answer(step);
}

void keyed_request::rollBackAndAnswerError()
{
    answer(key_step::AnswerError);
}

void keyed_request::sendText(std::string_view sql, next_step then)
{
    frame_writer writer;
    writer.begin('Q').string(sql).end();
    m_connection->unnamedStatement().clear();
    m_relay.beginSimple(false);
    send(writer.take(), then);
}

void keyed_request::send(std::string bytes, next_step then)
{
    m_received.clear();
    m_toTarget = std::move(bytes);
    m_sentAt = systemNow();
    asio::async_write(
        m_connection->socket(),
        asio::buffer(m_toTarget),
        asio::bind_executor(m_executor, [self = shared_from_this(), then](std::error_code error, std::size_t) {
            if (error) {
                self->lost();
                return;
            }
            self->read(then);
        }));
}

void keyed_request::read(next_step then)
{
    char *buffer = m_connection->reader().prepare(readBytes);
    m_connection->socket().async_read_some(
        asio::buffer(buffer, readBytes),
        asio::bind_executor(m_executor, [self = shared_from_this(), then](std::error_code error, std::size_t bytes) {
            if (error) {
                self->lost();
                return;
            }
            auto &connection = *self->m_connection;
            connection.reader().commit(bytes);
            relay_hooks hooks;
            hooks.onGroupState = [&](std::string_view value) {
                connection.lastGroupState() = std::string(value);
                self->m_observe(connection.target(), value, self->m_sentAt);
            };
            hooks.onPrepared = [&](const std::string &name) {
                if (!name.empty() && name.front() == '\0') {
                    connection.unnamedStatement() = name.substr(1);
                } else {
                    connection.prepared().insert(name);
                }
            };
            const auto progress = self->m_relay.consume(connection.reader(), self->m_received, hooks);
            if (progress == response_relay::progress::Broken) {
                self->lost();
            } else if (progress == response_relay::progress::Done) {
                ((*self).*then)();
            } else {
                self->read(then);
            }
        }));
}

void keyed_request::lost()
{
    answer(m_key.onConnectionLost(m_mayRetry()));
}

void keyed_request::answer(key_step step)
{
    keyed_result result;
    result.step = step;
    result.connectionReusable = m_relay.transactionStatus() == 'I' && m_connection->socket().is_open();
    if (step == key_step::AnswerOutcome) {
        if (const auto state = parseTargetState(m_connection->lastGroupState())) {
            result.committed = state->at;
        }
        result.frames = m_key.outcome().frames;
        if (result.frames.empty()) {
            frame_writer writer;
            writeCommandComplete(writer, m_key.outcome().commandTag);
            result.frames = writer.take();
        }
    }
    if (step == key_step::AnswerError) {
        result.frames = m_errorFrames;
    }
    m_connection.reset();
    const auto done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

}
