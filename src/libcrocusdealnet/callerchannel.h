#pragma once

#include "callerstream.h"
#include "pgframe.h"

#include <functional>
#include <memory>
#include <string>

namespace crocusdeal
{

/** What the channel tells its session; all run on the session's strand. */
struct channel_hooks {
    std::function<void()> onReceived; ///< The reader holds more bytes.
    std::function<void()> onReadFailed; ///< The caller has left.
    std::function<void()> onWriting; ///< A part of the output leaves for the caller.
    std::function<void()> onWriteFailed;
};

/**
 * The bytes from and to one caller.
 *
 * Belongs to a session; the handlers of its pending operations keep the session alive. All functions run on the
 * session's strand.
 */
class caller_channel
{
public:
    caller_channel(std::unique_ptr<caller_stream> stream, frame_reader reader);

    void start(std::weak_ptr<void> session, channel_hooks hooks);
    /** Reads on unless enough for the next request is there. */
    void read();
    frame_reader &reader();

    /** What is to be sent with the next flush. */
    std::string &out();
    /** Sends out(), then calls @p then. */
    void flush(std::function<void()> then);
    bool isFlushing() const;
    /** A new answer starts; hasSent() counts from here. */
    void beginAnswer();
    /** Whether a part of the present answer has left for the caller. */
    bool hasSent() const;
    /** No handler runs any more. */
    void close();

private:
    void onRead(std::error_code error, std::size_t bytes);

    std::unique_ptr<caller_stream> m_stream;
    frame_reader m_reader;
    std::weak_ptr<void> m_session;
    channel_hooks m_hooks;
    std::string m_out;
    std::string m_writing;
    bool m_reading = false;
    bool m_flushing = false;
    bool m_sent = false;
    bool m_closed = false;
};

}
