#pragma once

namespace asio
{
class io_context;
}

namespace crocusdeal
{

/**
 * Runs the handlers of @p io on @p threads threads, at least 1 with the calling one, until it is stopped. Returns after
 * the handlers that were ready by then have run, too: what a shutdown posts before it stops @p io is not lost.
 */
void runOnThreads(asio::io_context &io, int threads);

}
