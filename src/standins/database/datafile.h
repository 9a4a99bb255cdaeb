#pragma once

#include "grouptypes.h"
#include "pgframe.h"
#include "replicationlog.h"

#include <string>
#include <vector>

namespace crocusdeal
{

/** What a database must know again after a restart. */
struct stored_state {
    std::uint64_t term = 0; ///< 0: the file was empty.
    target_role role = target_role::Fenced;
    std::string following;
    replication_log log;
};

/**
 * Keeps term, role and log of a stand-in across restarts.
 *
 * Records are appended without fsync: they survive the end of the process, not of the machine.
 */
class data_file
{
public:
    /** Opens or creates the file; throws std::system_error. */
    explicit data_file(const std::string &path);
    ~data_file();
    data_file(const data_file &) = delete;
    data_file &operator=(const data_file &) = delete;

    /** Reads what was written; throws std::invalid_argument for a damaged file. A cut-off last record is ignored. */
    stored_state load();
    void writeState(std::uint64_t term, target_role role, const std::string &following);
    void writeEntries(const std::vector<log_entry_ptr> &entries);
    void writeDrop(std::uint64_t lastOffset);

private:
    static void readRecord(const pg_frame &frame, stored_state &state);
    void write(const frame_writer &writer);

    std::string m_path;
    int m_descriptor = -1;
};

}
