#pragma once

#include "database.h"
#include "sessionhost.h"
#include "sqlsession.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** Encodes the request of a replica. */
void writePull(frame_writer &writer, std::uint64_t term, const std::vector<position> &termEnds);
void writePullResult(frame_writer &writer, const pull_result &result);
/** Throws std::invalid_argument. */
pull_result readPullResult(std::string_view payload);

/** Answers the pulls of one replica; a pull without news waits. */
class replication_feed
{
public:
    replication_feed(database &source, session_host &host, const strand_type &strand);

    void handle(const pg_frame &frame);
    bool isBusy() const;

private:
    void answer();
    void waitForEntries(position last);

    database &m_database;
    session_host &m_host;
    strand_type m_strand;
    asio::steady_timer m_timer;
    std::uint64_t m_term = 0;
    std::vector<position> m_termEnds;
    bool m_busy = false;
    bool m_waited = false;
};

}
