#include "requestbatch.h"

namespace crocusdeal
{

request_batch::progress request_batch::add(const pg_frame &frame)
{
    switch (frame.type) {
    case 'Q': {
        if (!m_steps.empty()) {
            return progress::Malformed;
        }
        payload_reader reader(frame.payload);
        m_text = std::string(reader.readString());
        m_bytes = std::string(frame.raw);
        m_simple = true;
        return reader.failed() ? progress::Malformed : progress::Complete;
    }
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'S':
    case 'H':
        return addExtended(frame);
    default:
        return progress::Unsupported;
    }
}

request_batch::progress request_batch::addExtended(const pg_frame &frame)
{
    batch_step step;
    step.type = frame.type;
    step.begin = m_bytes.size();
    step.size = frame.raw.size();

    payload_reader reader(frame.payload);
    switch (frame.type) {
    case 'P':
        step.statement = std::string(reader.readString());
        step.text = std::string(reader.readString());
        break;
    case 'B':
        step.portal = std::string(reader.readString());
        step.statement = std::string(reader.readString());
        break;
    case 'D':
    case 'C':
        step.object = static_cast<char>(reader.readByte());
        (step.object == 'S' ? step.statement : step.portal) = std::string(reader.readString());
        if (step.object != 'S' && step.object != 'P') {
            return progress::Malformed;
        }
        break;
    case 'E':
        step.portal = std::string(reader.readString());
        break;
    default:
        break;
    }
    if (reader.failed()) {
        return progress::Malformed;
    }

    m_bytes.append(frame.raw);
    m_steps.push_back(std::move(step));
    if (frame.type == 'S') {
        return progress::Complete;
    }
    return frame.type == 'H' ? progress::Flushed : progress::More;
}

void request_batch::clear()
{
    // A caller may send one large request and then stay idle, so its memory is not kept.
    constexpr std::size_t keepBytes = 4096;
    if (m_bytes.capacity() > keepBytes) {
        std::string().swap(m_bytes);
    }
    m_bytes.clear();
    if (m_text.capacity() > keepBytes) {
        std::string().swap(m_text);
    }
    m_text.clear();
    m_steps.clear();
    m_simple = false;
}

bool request_batch::empty() const
{
    return m_bytes.empty();
}

bool request_batch::isSimple() const
{
    return m_simple;
}

bool request_batch::endsWithSync() const
{
    return m_simple || (!m_steps.empty() && m_steps.back().type == 'S');
}

const std::string &request_batch::text() const
{
    return m_text;
}

const std::vector<batch_step> &request_batch::steps() const
{
    return m_steps;
}

std::string_view request_batch::bytes(const batch_step &step) const
{
    return std::string_view(m_bytes).substr(step.begin, step.size);
}

std::string_view request_batch::allBytes() const
{
    return m_bytes;
}

}
