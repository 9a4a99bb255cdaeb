#include "iothreads.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>

using namespace crocusdeal;

namespace
{

/** Waits for an answer whose handler refers back to it, like a statement to a target; stop() breaks the cycle. */
struct waiting_part : std::enable_shared_from_this<waiting_part> {
    explicit waiting_part(asio::io_context &io)
        : strand(asio::make_strand(io))
        , timer(strand)
    {
    }

    void start()
    {
        onAnswer = [self = shared_from_this()] {};
        timer.expires_after(std::chrono::hours(1));
        timer.async_wait([self = shared_from_this()](const asio::error_code &) { self->onAnswer = nullptr; });
    }

    void stop()
    {
        asio::post(strand, [self = shared_from_this()] { self->timer.cancel(); });
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    std::function<void()> onAnswer;
};

class io_threads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(io_threads_test);
    CPPUNIT_TEST(whatAShutdownPostsIsRun);
    CPPUNIT_TEST(unfinishedWaitsDoNotHoldTheEndUp);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int threads = 3;

public:
    /**
     * Guards against an instance whose process ends with an error report: it stopped its threads before its parts had
     * carried out their stop, so that waiting statements kept themselves alive for ever.
     */
    void whatAShutdownPostsIsRun()
    {
        asio::io_context io(threads);
        auto part = std::make_shared<waiting_part>(io);
        const std::weak_ptr<waiting_part> watched = part;
        part->start();
        asio::post(io, [&io, part] {
            part->stop();
            io.stop();
        });
        part.reset();
        runOnThreads(io, threads);
        CPPUNIT_ASSERT(watched.expired());
    }

    /** Guards against a shutdown that waits for timers and connections which nobody ends. */
    void unfinishedWaitsDoNotHoldTheEndUp()
    {
        asio::io_context io(threads);
        asio::steady_timer timer(io, std::chrono::hours(1));
        bool ended = false;
        timer.async_wait([&ended](const asio::error_code &) { ended = true; });
        asio::post(io, [&io] { io.stop(); });
        runOnThreads(io, threads);
        CPPUNIT_ASSERT(!ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(io_threads_test);

}
