#include "iothreads.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace crocusdeal
{

void runOnThreads(asio::io_context &io, int threads)
{
    std::vector<std::thread> others;
    others.reserve(static_cast<std::size_t>(threads) - 1);
    for (int i = 1; i < threads; ++i) {
        others.emplace_back([&io] { io.run(); });
    }
    io.run();
    for (auto &other : others) {
        other.join();
    }
    // Handlers that were queued on a strand when the threads left would be dropped, and with them the end of parts.
    io.restart();
    io.poll();
}

}
