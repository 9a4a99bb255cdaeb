#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** Errors of the PostgreSQL frame layer. */
enum class frame_error {
    BadLength, ///< A length field below its minimum.
    TooLarge, ///< A message above the reader's limit.
    Truncated, ///< A field that runs past the end of its message.
};

std::string_view frameErrorName(frame_error error);

/** One message of the PostgreSQL protocol 3; refers into the reader's buffer. */
struct pg_frame {
    char type = 0; ///< 0 for the untyped start-up messages.
    std::string_view payload; ///< Without type and length.
    std::string_view raw; ///< The message as received, for forwarding.
};

/**
 * Cuts a byte stream into PostgreSQL messages.
 *
 * Memory is bounded by the message limit plus what one append adds.
 */
class frame_reader
{
public:
    explicit frame_reader(std::size_t maxMessageBytes);

    /** Start-up messages have no type byte; true until the caller says otherwise. */
    void setStartup(bool startup);

    /** Space for at least @p bytes to receive into; commit() says how many came. Invalidates frames. */
    char *prepare(std::size_t bytes);
    void commit(std::size_t bytes);
    void append(std::string_view bytes);

    /** The next whole message, nothing if more bytes are needed or error() is set. */
    std::optional<pg_frame> next();

    /** Total length of the message at the front, type and length included; 0 while unknown. */
    std::size_t frontLength() const;

    /** Type of the message at the front; 0 while unknown and for start-up messages. */
    char frontType() const;

    /** Takes up to @p limit unread bytes from the front without framing them. */
    std::string_view takeRaw(std::size_t limit);

    std::size_t unread() const;
    std::optional<frame_error> error() const;

    /** Gives back memory of an empty buffer above @p keepBytes. */
    void shrink(std::size_t keepBytes);

private:
    void compact();

    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_maxMessageBytes;
    bool m_startup = false;
    std::optional<frame_error> m_error;
};

/** Reads the fields of a message's payload; after an error every read gives an empty value. */
class payload_reader
{
public:
    explicit payload_reader(std::string_view payload);

    std::uint8_t readByte();
    std::int16_t readInt16();
    std::int32_t readInt32();
    /** A zero-terminated string. */
    std::string_view readString();
    std::string_view readBytes(std::size_t count);
    std::size_t remaining() const;
    bool failed() const;

private:
    std::string_view m_rest;
    bool m_failed = false;
};

/** Builds messages into one buffer. */
class frame_writer
{
public:
    /** Starts a message; @p type 0 starts an untyped one. */
    frame_writer &begin(char type);
    frame_writer &byte(std::uint8_t value);
    frame_writer &int16(std::int16_t value);
    frame_writer &int32(std::int32_t value);
    /** A zero-terminated string. */
    frame_writer &string(std::string_view value);
    frame_writer &bytes(std::string_view value);
    /** Fills in the length of the message begun last. */
    frame_writer &end();
    /** Appends whole messages unchanged. */
    frame_writer &raw(std::string_view frames);

    const std::string &str() const;
    std::string take();
    bool empty() const;

private:
    std::string m_buffer;
    std::size_t m_lengthAt = 0;
};

/** The fields of an ErrorResponse or NoticeResponse. */
struct pg_error {
    std::string severity;
    std::string sqlState;
    std::string message;
    std::string detail;
    std::string hint;
};

void writeError(frame_writer &writer, const pg_error &error);
pg_error readError(std::string_view payload);
void writeParameterStatus(frame_writer &writer, std::string_view name, std::string_view value);
void writeCommandComplete(frame_writer &writer, std::string_view tag);
/** @p status is 'I' idle, 'T' in a transaction, 'E' in a failed one. */
void writeReadyForQuery(frame_writer &writer, char status);
/** A row description of text columns. */
void writeTextColumns(frame_writer &writer, const std::vector<std::string> &names);
/** A row of text values; nothing stands for NULL. */
void writeTextRow(frame_writer &writer, const std::vector<std::optional<std::string>> &values);

}
