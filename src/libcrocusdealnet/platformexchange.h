#pragma once

#include "hostport.h"
#include "platformclient.h"

#include <memory>
#include <string>

namespace crocusdeal
{

struct http_answer {
    int status = 0;
    std::string body;
};

/** One HTTP call to the platform. */
struct http_call {
    std::string method;
    std::string path; ///< With the query.
    std::string body;
};

/**
 * Performs single HTTP calls, each on a connection of its own.
 *
 * Kept connections would make an update's outcome unknown whenever the platform closes one that was idle.
 */
class platform_exchange
{
public:
    platform_exchange(host_port address, std::string caller);
    ~platform_exchange();
    platform_exchange(const platform_exchange &) = delete;
    platform_exchange &operator=(const platform_exchange &) = delete;

    /** Blocks up to @p limit. Statuses 2xx, 304, 404 and 409 are answers, all others failures. */
    platform_result<http_answer> call(const http_call &call, duration limit);
    /** Breaks off the calls that are under way. */
    void abortCalls();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
