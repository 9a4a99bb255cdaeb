#include "callerchannel.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** What an idle session keeps for its next request. */
constexpr std::size_t minReadBytes = 2048;
/** The session stops reading ahead of the request that it works on above this. */
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;
/** A larger output buffer is freed once it is sent. */
constexpr std::size_t keptOutputBytes = std::size_t{16} * 1024;

}

caller_channel::caller_channel(std::unique_ptr<caller_stream> stream, frame_reader reader)
    : m_stream(std::move(stream))
    , m_reader(std::move(reader))
{
}

void caller_channel::start(std::weak_ptr<void> session, channel_hooks hooks)
{
    m_session = std::move(session);
    m_hooks = std::move(hooks);
}

void caller_channel::read()
{
    if (m_reading || m_closed || m_reader.unread() > readAheadBytes + m_reader.frontLength()) {
        return;
    }
    m_reading = true;
    m_reader.shrink(minReadBytes);
    const auto missing = m_reader.frontLength() - std::min(m_reader.frontLength(), m_reader.unread());
    const auto size = std::clamp(missing, minReadBytes, readAheadBytes);
    char *buffer = m_reader.prepare(size);
    m_stream->readSome(buffer, size, [this, session = m_session.lock()](std::error_code error, std::size_t bytes) {
        onRead(error, bytes);
    });
}

void caller_channel::onRead(std::error_code error, std::size_t bytes)
{
    m_reading = false;
    if (m_closed) {
        return;
    }
    if (error) {
        m_hooks.onReadFailed();
        return;
    }
    m_reader.commit(bytes);
    m_hooks.onReceived();
    read();
}

frame_reader &caller_channel::reader()
{
    return m_reader;
}

std::string &caller_channel::out()
{
    return m_out;
}

void caller_channel::flush(std::function<void()> then)
{
    if (m_out.empty()) {
        then();
        return;
    }
    m_writing.swap(m_out);
    m_out.clear();
    m_sent = true;
    m_flushing = true;
    m_hooks.onWriting();
    m_stream->write(m_writing,
                    [this, session = m_session.lock(), then = std::move(then)](std::error_code error, std::size_t) {
                        m_flushing = false;
                        if (m_writing.capacity() > keptOutputBytes) {
                            std::string().swap(m_writing);
                        }
                        if (m_closed) {
                            return;
                        }
                        if (error) {
                            m_hooks.onWriteFailed();
                            return;
                        }
                        then();
                    });
}

bool caller_channel::isFlushing() const
{
    return m_flushing;
}

void caller_channel::beginAnswer()
{
    m_sent = false;
}

bool caller_channel::hasSent() const
{
    return m_sent;
}

void caller_channel::close()
{
    m_closed = true;
    m_stream->close();
}

}
