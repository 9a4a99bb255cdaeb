#include "datafile.h"

#include "replicationfeed.h"

#include <cerrno>
#include <fcntl.h>
#include <limits>
#include <stdexcept>
#include <system_error>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

constexpr char stateRecord = 't';
constexpr char dropRecord = 'd';
constexpr char entriesRecord = 'e';
constexpr std::size_t readBytes = 1U << 20U;

[[noreturn]] void fail(const std::string &path)
{
    throw std::system_error(errno, std::generic_category(), path);
}

}

data_file::data_file(const std::string &path)
    : m_path(path)
    , m_descriptor(open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600))
{
    if (m_descriptor < 0) {
        fail(path);
    }
}

data_file::~data_file()
{
    close(m_descriptor);
}

stored_state data_file::load()
{
    stored_state state;
    frame_reader reader(std::numeric_limits<std::int32_t>::max());
    off_t complete = 0;
    for (;;) {
        const auto count = ::read(m_descriptor, reader.prepare(readBytes), readBytes);
        if (count < 0) {
            fail(m_path);
        }
        if (count == 0) {
            break;
        }
        reader.commit(static_cast<std::size_t>(count));
        while (const auto frame = reader.next()) {
            readRecord(*frame, state);
            complete += static_cast<off_t>(frame->raw.size());
        }
    }
    // Records appended after a partial one could not be read.
    if (ftruncate(m_descriptor, complete) != 0) {
        fail(m_path);
    }
    return state;
}

void data_file::readRecord(const pg_frame &frame, stored_state &state)
{
    payload_reader reader(frame.payload);
    switch (frame.type) {
    case stateRecord: {
        state.term = std::stoull(std::string(reader.readString()));
        state.role = targetRoleNames.value(reader.readString()).value_or(target_role::Fenced);
        state.following = reader.readString();
        break;
    }
    case dropRecord:
        state.log.truncate(std::stoull(std::string(reader.readString())));
        break;
    case entriesRecord:
        for (const auto &entry : readPullResult(frame.payload).entries) {
            state.log.append(entry);
        }
        break;
    default:
        throw std::invalid_argument("damaged data file");
    }
}

void data_file::writeState(std::uint64_t term, target_role role, const std::string &following)
{
    frame_writer writer;
    writer.begin(stateRecord).string(std::to_string(term)).string(targetRoleNames.name(role)).string(following).end();
    write(writer);
}

void data_file::writeEntries(const std::vector<log_entry_ptr> &entries)
{
    frame_writer writer;
    writePullResult(writer, {true, {}, entries});
    write(writer);
}

void data_file::writeDrop(std::uint64_t lastOffset)
{
    frame_writer writer;
    writer.begin(dropRecord).string(std::to_string(lastOffset)).end();
    write(writer);
}

void data_file::write(const frame_writer &writer)
{
    const auto &bytes = writer.str();
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = ::write(m_descriptor, bytes.data() + sent, bytes.size() - sent);
        if (count < 0) {
            fail(m_path);
        }
        sent += static_cast<std::size_t>(count);
    }
}

}
