#include "pgframe.h"

#include "nametable.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t typeBytes = 1;
constexpr std::size_t lengthBytes = 4;
/** A start-up message without a code field cannot be told from anything else. */
constexpr std::size_t minStartupBytes = 8;
constexpr std::int32_t textOid = 25;

constexpr auto frameErrorNames =
    makeNameTable<frame_error>("message length is too small", "message is too large", "message is truncated");

std::uint32_t loadInt32(const char *from)
{
    const auto *bytes = reinterpret_cast<const unsigned char *>(from);
    return std::uint32_t{bytes[0]} << 24U | std::uint32_t{bytes[1]} << 16U | std::uint32_t{bytes[2]} << 8U
        | std::uint32_t{bytes[3]};
}

void storeInt32(char *to, std::uint32_t value)
{
    to[0] = static_cast<char>(value >> 24U);
    to[1] = static_cast<char>(value >> 16U);
    to[2] = static_cast<char>(value >> 8U);
    to[3] = static_cast<char>(value);
}

}

std::string_view frameErrorName(frame_error error)
{
    return frameErrorNames.name(error);
}

frame_reader::frame_reader(std::size_t maxMessageBytes)
    : m_maxMessageBytes(maxMessageBytes)
{
}

void frame_reader::setStartup(bool startup)
{
    m_startup = startup;
}

void frame_reader::compact()
{
    if (m_begin == 0 || m_begin == m_end) {
        m_end -= m_begin;
        m_begin = 0;
        return;
    }
    std::memmove(m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
    m_end -= m_begin;
    m_begin = 0;
}

char *frame_reader::prepare(std::size_t bytes)
{
    if (m_begin == m_end) {
        m_begin = m_end = 0;
    }
    if (m_buffer.size() - m_end < bytes) {
        compact();
    }
    if (m_buffer.size() - m_end < bytes) {
        m_buffer.resize(m_end + bytes);
    }
    return m_buffer.data() + m_end;
}

void frame_reader::commit(std::size_t bytes)
{
    m_end += bytes;
}

void frame_reader::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    std::memcpy(prepare(bytes.size()), bytes.data(), bytes.size());
    commit(bytes.size());
}

std::size_t frame_reader::frontLength() const
{
    const std::size_t headerBytes = (m_startup ? 0 : typeBytes) + lengthBytes;
    if (unread() < headerBytes) {
        return 0;
    }
    const std::size_t length = loadInt32(m_buffer.data() + m_begin + headerBytes - lengthBytes);
    return length + headerBytes - lengthBytes;
}

std::optional<pg_frame> frame_reader::next()
{
    if (m_error) {
        return std::nullopt;
    }
    const std::size_t total = frontLength();
    const std::size_t headerBytes = (m_startup ? 0 : typeBytes) + lengthBytes;
    if (unread() < headerBytes) {
        return std::nullopt;
    }
    if (total < (m_startup ? minStartupBytes : headerBytes)) {
        m_error = frame_error::BadLength;
        return std::nullopt;
    }
    if (total > m_maxMessageBytes) {
        m_error = frame_error::TooLarge;
        return std::nullopt;
    }
    if (unread() < total) {
        return std::nullopt;
    }
    pg_frame frame;
    frame.raw = std::string_view(m_buffer.data() + m_begin, total);
    frame.type = m_startup ? '\0' : frame.raw.front();
    frame.payload = frame.raw.substr(headerBytes);
    m_begin += total;
    return frame;
}

char frame_reader::frontType() const
{
    return m_startup || unread() == 0 ? '\0' : m_buffer[m_begin];
}

std::string_view frame_reader::takeRaw(std::size_t limit)
{
    const auto count = std::min(limit, unread());
    const std::string_view bytes(m_buffer.data() + m_begin, count);
    m_begin += count;
    return bytes;
}

std::size_t frame_reader::unread() const
{
    return m_end - m_begin;
}

std::optional<frame_error> frame_reader::error() const
{
    return m_error;
}

void frame_reader::shrink(std::size_t keepBytes)
{
    if (m_begin != m_end || m_buffer.size() <= keepBytes) {
        return;
    }
    m_begin = m_end = 0;
    std::vector<char>(keepBytes).swap(m_buffer);
}

payload_reader::payload_reader(std::string_view payload)
    : m_rest(payload)
{
}

std::string_view payload_reader::readBytes(std::size_t count)
{
    if (m_failed || m_rest.size() < count) {
        m_failed = true;
        return {};
    }
    const auto bytes = m_rest.substr(0, count);
    m_rest.remove_prefix(count);
    return bytes;
}

std::uint8_t payload_reader::readByte()
{
    const auto bytes = readBytes(1);
    return bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
}

std::int16_t payload_reader::readInt16()
{
    const auto bytes = readBytes(2);
    if (bytes.empty()) {
        return 0;
    }
    const auto high = static_cast<unsigned char>(bytes[0]);
    const auto low = static_cast<unsigned char>(bytes[1]);
    return static_cast<std::int16_t>(high << 8U | low);
}

std::int32_t payload_reader::readInt32()
{
    const auto bytes = readBytes(lengthBytes);
    return bytes.empty() ? 0 : static_cast<std::int32_t>(loadInt32(bytes.data()));
}

std::string_view payload_reader::readString()
{
    const auto end = m_rest.find('\0');
    if (m_failed || end == std::string_view::npos) {
        m_failed = true;
        return {};
    }
    const auto text = m_rest.substr(0, end);
    m_rest.remove_prefix(end + 1);
    return text;
}

std::size_t payload_reader::remaining() const
{
    return m_rest.size();
}

bool payload_reader::failed() const
{
    return m_failed;
}

frame_writer &frame_writer::begin(char type)
{
    if (type != '\0') {
        m_buffer.push_back(type);
    }
    m_lengthAt = m_buffer.size();
    m_buffer.append(lengthBytes, '\0');
    return *this;
}

frame_writer &frame_writer::byte(std::uint8_t value)
{
    m_buffer.push_back(static_cast<char>(value));
    return *this;
}

frame_writer &frame_writer::int16(std::int16_t value)
{
    const auto bits = static_cast<std::uint16_t>(value);
    m_buffer.push_back(static_cast<char>(bits >> 8U));
    m_buffer.push_back(static_cast<char>(bits));
    return *this;
}

frame_writer &frame_writer::int32(std::int32_t value)
{
    const auto at = m_buffer.size();
    m_buffer.append(lengthBytes, '\0');
    storeInt32(m_buffer.data() + at, static_cast<std::uint32_t>(value));
    return *this;
}

frame_writer &frame_writer::string(std::string_view value)
{
    m_buffer.append(value);
    m_buffer.push_back('\0');
    return *this;
}

frame_writer &frame_writer::bytes(std::string_view value)
{
    m_buffer.append(value);
    return *this;
}

frame_writer &frame_writer::end()
{
    storeInt32(m_buffer.data() + m_lengthAt, static_cast<std::uint32_t>(m_buffer.size() - m_lengthAt));
    return *this;
}

frame_writer &frame_writer::raw(std::string_view frames)
{
    m_buffer.append(frames);
    return *this;
}

const std::string &frame_writer::str() const
{
    return m_buffer;
}

std::string frame_writer::take()
{
    return std::exchange(m_buffer, {});
}

bool frame_writer::empty() const
{
    return m_buffer.empty();
}

void writeError(frame_writer &writer, const pg_error &error)
{
    const auto field = [&writer](char code, const std::string &value) {
        if (!value.empty()) {
            writer.byte(static_cast<std::uint8_t>(code)).string(value);
        }
    };
    writer.begin('E');
    field('S', error.severity);
    field('V', error.severity);
    field('C', error.sqlState);
    field('M', error.message);
    field('D', error.detail);
    field('H', error.hint);
    writer.byte(0).end();
}

pg_error readError(std::string_view payload)
{
    pg_error error;
    payload_reader reader(payload);
    while (reader.remaining() > 0) {
        const char code = static_cast<char>(reader.readByte());
        if (code == '\0') {
            break;
        }
        const std::string value(reader.readString());
        switch (code) {
        case 'S':
            error.severity = value;
            break;
        case 'C':
            error.sqlState = value;
            break;
        case 'M':
            error.message = value;
            break;
        case 'D':
            error.detail = value;
            break;
        case 'H':
            error.hint = value;
            break;
        default:
            break;
        }
    }
    return error;
}

void writeParameterStatus(frame_writer &writer, std::string_view name, std::string_view value)
{
    writer.begin('S').string(name).string(value).end();
}

void writeCommandComplete(frame_writer &writer, std::string_view tag)
{
    writer.begin('C').string(tag).end();
}

void writeReadyForQuery(frame_writer &writer, char status)
{
    writer.begin('Z').byte(static_cast<std::uint8_t>(status)).end();
}

void writeTextColumns(frame_writer &writer, const std::vector<std::string> &names)
{
    constexpr std::int16_t variableSize = -1;
    constexpr std::int32_t noModifier = -1;
    writer.begin('T').int16(static_cast<std::int16_t>(names.size()));
    for (const auto &name : names) {
        writer.string(name).int32(0).int16(0).int32(textOid).int16(variableSize).int32(noModifier).int16(0);
    }
    writer.end();
}

void writeTextRow(frame_writer &writer, const std::vector<std::optional<std::string>> &values)
{
    constexpr std::int32_t nullLength = -1;
    writer.begin('D').int16(static_cast<std::int16_t>(values.size()));
    for (const auto &value : values) {
        if (value) {
            writer.int32(static_cast<std::int32_t>(value->size())).bytes(*value);
        } else {
            writer.int32(nullLength);
        }
    }
    writer.end();
}

}
