#include "bytestream.h"

#include <asio/ip/address.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace crocusdeal;

class byte_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(byte_stream_test);
    CPPUNIT_TEST(handlerThatAsksForMoreGetsEveryByteOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against UNASKED: a request that was answered at once started a second read into the same buffer, and a
     * later message of more than one buffer was mixed up.
     */
    void handlerThatAsksForMoreGetsEveryByteOnce()
    {
        asio::io_context io(1);
        asio::ip::tcp::acceptor acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        std::shared_ptr<byte_stream> receiver;
        std::string received;
        acceptor.async_accept([&](std::error_code, asio::ip::tcp::socket socket) {
            receiver = std::make_shared<byte_stream>(std::move(socket));
            receiver->onData = [&](std::string &inbound) {
                received += inbound;
                inbound.clear();
                receiver->resumeDelivery();
            };
            receiver->startReading();
        });
        const auto sender = std::make_shared<byte_stream>(io);
        sender->connect({"127.0.0.1", acceptor.local_endpoint().port()}, [] {});
        std::string sent;
        for (int message = 0; message < 40; ++message) {
            std::string text;
            for (int i = 0; i < 2000; ++i) {
                text += std::to_string(message * 2000 + i) + ' ';
            }
            sent += text;
            sender->send(text);
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
            while (received.size() < sent.size() && std::chrono::steady_clock::now() < end) {
                io.run_one_for(std::chrono::milliseconds(20));
            }
        }
        CPPUNIT_ASSERT(received == sent);
        sender->close();
        receiver->close();
        io.run_for(std::chrono::milliseconds(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(byte_stream_test);
