#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace platform_standin
{

struct platform_server_options {
    std::string host;
    int port = 0; ///< 0: any free port.
    double readsPerSecond = 2000;
    double writesPerSecond = 300;
};

/** The platform's HTTP interface (design page, 4.3), with faults set at run time. */
class platform_server
{
public:
    explicit platform_server(platform_server_options options);
    ~platform_server();
    platform_server(const platform_server &) = delete;
    platform_server &operator=(const platform_server &) = delete;

    /** Listens and serves on threads of its own; gives the port, or 0 if the address cannot be used. */
    int start();
    /** Ends waiting watches and stops; returns when all calls are answered. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
