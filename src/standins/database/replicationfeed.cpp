#include "replicationfeed.h"

#include <asio/post.hpp>

#include <chrono>
#include <stdexcept>
#include <string>

namespace crocusdeal
{

namespace
{

/** A pull without news is answered after this time, so that a replica notices a silent source. */
constexpr auto maxPullWait = std::chrono::milliseconds(200);

constexpr std::int32_t nullLength = -1;

void writePosition(frame_writer &writer, position at)
{
    writer.string(toString(at));
}

position readPosition(payload_reader &reader)
{
    const auto at = parsePosition(reader.readString());
    if (!at) {
        throw std::invalid_argument("bad position");
    }
    return *at;
}

std::uint64_t readNumber(payload_reader &reader)
{
    return std::stoull(std::string(reader.readString()));
}

void writeStatement(frame_writer &writer, const logged_statement &statement)
{
    writer.string(statement.sql).int32(static_cast<std::int32_t>(statement.values.size()));
    for (std::size_t i = 0; i < statement.values.size(); ++i) {
        writer.int32(i < statement.types.size() ? statement.types[i] : 0);
        const auto &value = statement.values[i];
        if (value) {
            writer.int32(static_cast<std::int32_t>(value->size())).bytes(*value);
        } else {
            writer.int32(nullLength);
        }
    }
}

logged_statement readStatement(payload_reader &reader)
{
    logged_statement statement;
    statement.sql = reader.readString();
    const auto count = reader.readInt32();
    for (std::int32_t i = 0; i < count && !reader.failed(); ++i) {
        statement.types.push_back(reader.readInt32());
        const auto length = reader.readInt32();
        if (length == nullLength) {
            statement.values.emplace_back();
        } else {
            statement.values.emplace_back(reader.readBytes(static_cast<std::size_t>(length)));
        }
    }
    return statement;
}

log_entry_ptr readEntry(payload_reader &reader)
{
    auto entry = std::make_shared<log_entry>();
    entry->at = readPosition(reader);
    entry->nowUs = static_cast<std::int64_t>(readNumber(reader));
    entry->seed = readNumber(reader);
    const auto count = reader.readInt32();
    for (std::int32_t i = 0; i < count && !reader.failed(); ++i) {
        entry->statements.push_back(readStatement(reader));
    }
    return entry;
}

}

void writePull(frame_writer &writer, std::uint64_t term, const std::vector<position> &termEnds)
{
    writer.begin('p').string(std::to_string(term)).int32(static_cast<std::int32_t>(termEnds.size()));
    for (const auto end : termEnds) {
        writePosition(writer, end);
    }
    writer.end();
}

void writePullResult(frame_writer &writer, const pull_result &result)
{
    writer.begin('e').byte(result.accepted ? 1 : 0);
    writePosition(writer, result.common);
    writer.int32(static_cast<std::int32_t>(result.entries.size()));
    for (const auto &entry : result.entries) {
        writePosition(writer, entry->at);
        writer.string(std::to_string(entry->nowUs)).string(std::to_string(entry->seed));
        writer.int32(static_cast<std::int32_t>(entry->statements.size()));
        for (const auto &statement : entry->statements) {
            writeStatement(writer, statement);
        }
    }
    writer.end();
}

pull_result readPullResult(std::string_view payload)
{
    payload_reader reader(payload);
    pull_result result;
    result.accepted = reader.readByte() != 0;
    result.common = readPosition(reader);
    const auto count = reader.readInt32();
    for (std::int32_t i = 0; i < count; ++i) {
        result.entries.push_back(readEntry(reader));
    }
    if (reader.failed()) {
        throw std::invalid_argument("truncated entries");
    }
    return result;
}

replication_feed::replication_feed(database &source, session_host &host, const strand_type &strand)
    : m_database(source)
    , m_host(host)
    , m_strand(strand)
    , m_timer(strand)
{
}

bool replication_feed::isBusy() const
{
    return m_busy;
}

void replication_feed::handle(const pg_frame &frame)
{
    payload_reader reader(frame.payload);
    m_termEnds.clear();
    try {
        m_term = readNumber(reader);
        const auto count = reader.readInt32();
        for (std::int32_t i = 0; i < count; ++i) {
            m_termEnds.push_back(readPosition(reader));
        }
    } catch (const std::exception &) {
        m_host.closeNow();
        return;
    }
    m_waited = false;
    answer();
}

void replication_feed::answer()
{
    const auto result = m_database.pull(m_term, m_termEnds);
    const auto last = m_termEnds.empty() ? position{} : m_termEnds.back();
    const bool news = !result.accepted || !result.entries.empty() || result.common != last;
    if (!news && !m_waited) {
        waitForEntries(last);
        return;
    }
    writePullResult(m_host.out(), result);
}

void replication_feed::waitForEntries(position last)
{
    m_busy = true;
    m_waited = true;
    const auto finish = [this, keep = m_host.hold()] {
        if (!m_busy) {
            return;
        }
        m_busy = false;
        m_timer.cancel();
        answer();
        m_host.resume();
    };
    const auto id =
        m_database.wait({last.term, last.offset + 1}, m_term, [this, finish] { asio::post(m_strand, finish); });
    m_timer.expires_after(maxPullWait);
    m_timer.async_wait([this, finish, id](asio::error_code error) {
        if (!error && m_database.cancelWait(id)) {
            finish();
        }
    });
}

}
