#pragma once

#include "hostport.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** An HTTP status and a text for the operator, JSON unless it says otherwise. */
struct admin_answer {
    int status = 200;
    std::string body;
};

/** A question why a statement would be routed where. */
struct explain_request {
    std::string session; ///< Id of a session or a session token; may be empty.
    std::string service;
    std::string statement;
};

/** What the daemon does for the admin interface; called on the server's threads, each may be empty. */
struct admin_hooks {
    std::function<bool()> ready;
    std::function<std::string()> status; ///< JSON text with at least "instance" and "configuration_version".
    std::function<std::string()> metrics; ///< Prometheus text.
    std::function<admin_answer(const explain_request &)> explain;
    std::function<admin_answer(const std::string &group, const std::optional<std::string> &target)> promote;
    std::function<bool(const std::string &level)> setLogLevel; ///< False if there is no such level.
};

/**
 * The admin interface over HTTP.
 *
 * - GET /ready: 200 or 503.
 * - GET /status, /metrics, /explain?session=&service=&statement=
 * - POST /promote?group=[&target=], /log-level?level=
 */
class admin_server
{
public:
    explicit admin_server(admin_hooks hooks);
    /** Stops; returns when no hook is running. */
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    /** Listens and serves on threads of its own; port 0 takes any. Gives the port, or nothing if it is not free. */
    std::optional<std::uint16_t> start(const std::string &host, std::uint16_t port);
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
