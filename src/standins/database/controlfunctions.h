#pragma once

#include "server.h"
#include "sessionhost.h"
#include "sqlsession.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace crocusdeal
{

/** Statements that take no slot: group control, faults of the stand-in, SET, SHOW and DISCARD. */
class control_functions
{
public:
    using done_callback = sql_session::done_callback;

    control_functions(server &owner, session_host &host, const strand_type &strand, session_parameters parameters);

    /** Calls @p done before it returns, except for group_wait; throws sql_error. */
    void run(const parsed_statement &statement, const done_callback &done);
    /** RowDescription of what the statement returns; empty if nothing. */
    static std::string columnsOf(const parsed_statement &statement);

private:
    statement_result groupControl(const parsed_statement &statement);
    void groupWait(const parsed_statement &statement, const done_callback &done);
    statement_result show(const std::string &name) const;
    void set(const parsed_statement &statement);

    server &m_server;
    session_host &m_host;
    strand_type m_strand;
    asio::steady_timer m_timer;
    session_parameters m_parameters;
};

}
