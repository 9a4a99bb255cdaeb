#pragma once

#include "callersession.h"
#include "callerstream.h"
#include "startupmessage.h"

#include <asio/ssl/context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace crocusdeal
{

/** What the start-up of a caller needs of the instance. */
struct startup_environment {
    session_environment &sessions;
    std::shared_ptr<asio::ssl::context> tls; ///< Null if TLS is not configured.
    /** The service of a database name, or null; @p refusal then says why. */
    std::function<std::shared_ptr<const service_hooks>(const std::string &database, pg_error &refusal)> findService;
    std::function<bool()> isDraining;
};

/**
 * The start-up of one caller connection: TLS request, cancel request or start-up message.
 *
 * Keeps itself alive until a session took over or the connection was closed, at most for the start-up time limit.
 */
class caller_startup : public std::enable_shared_from_this<caller_startup>
{
public:
    caller_startup(startup_environment &environment, asio::ip::tcp::socket socket);

    void start();

private:
    void read();
    void onRead(std::error_code error, std::size_t bytes);
    void onMessage(const startup_message &message);
    void answerTlsRequest(bool isTls);
    void beginSession(const startup_message &message);
    bool readOptions(const startup_message &message, session_options &options);
    void refuse(const std::string &sqlState, const std::string &reason);
    void close();

    startup_environment &m_environment;
    caller_session::strand m_strand;
    std::unique_ptr<caller_stream> m_stream;
    asio::steady_timer m_timer;
    frame_reader m_reader;
    std::string m_out;
};

}
