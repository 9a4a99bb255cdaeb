#include "platformserver.h"

#include "hostport.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace options = boost::program_options;

namespace
{

constexpr int usageError = 2;

int serve(const platform_standin::platform_server_options &settings)
{
    // The server's threads inherit the mask, so that only sigwait() receives the signals.
    sigset_t endSignals;
    sigemptyset(&endSignals);
    sigaddset(&endSignals, SIGTERM);
    sigaddset(&endSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &endSignals, nullptr);

    platform_standin::platform_server server(settings);
    const int port = server.start();
    if (port == 0) {
        std::cerr << "platformstandin: cannot listen on " << settings.host << ':' << settings.port << '\n';
        return 1;
    }
    std::cout << "listening on " << crocusdeal::toString({settings.host, static_cast<std::uint16_t>(port)})
              << std::endl;
    int received = 0;
    sigwait(&endSignals, &received);
    server.stop();
    return 0;
}

}

int main(int argc, char **argv)
{
    platform_standin::platform_server_options settings;
    std::string listen;
    options::options_description description("platformstandin: stand-in for the hosting platform");
    description.add_options()("help", "show this text") //
        ("listen", options::value(&listen)->required(), "HOST:PORT to listen on; port 0 for any free one")(
            "reads-per-second", options::value(&settings.readsPerSecond)->default_value(2000), "limit of reads")(
            "writes-per-second", options::value(&settings.writesPerSecond)->default_value(300), "limit of writes");
    try {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv).options(description).positional({}).run(), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "platformstandin: " << error.what() << '\n';
        return usageError;
    }
    // Port 0, which is no port to connect to, stands for any free one.
    const bool anyPort = listen.size() > 2 && listen.compare(listen.size() - 2, 2, ":0") == 0;
    const auto address = crocusdeal::parseHostPort(anyPort ? listen.substr(0, listen.size() - 1) + "1" : listen);
    if (!address) {
        std::cerr << "platformstandin: HOST:PORT expected, got " << listen << '\n';
        return usageError;
    }
    settings.host = address->host;
    settings.port = anyPort ? 0 : address->port;
    return serve(settings);
}
