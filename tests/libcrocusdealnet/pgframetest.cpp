#include "pgframe.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace crocusdeal;

class pg_frame_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pg_frame_test);
    CPPUNIT_TEST(cutsAnyChunkingIntoTheSameFrames);
    CPPUNIT_TEST(survivesArbitraryBytes);
    CPPUNIT_TEST(refusesOversizedMessageBeforeItsBody);
    CPPUNIT_TEST(payloadReaderStopsAtTheEnd);
    CPPUNIT_TEST(frontTypeSeesTheNextMessageOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against losing or merging messages when the network splits them elsewhere. */
    void cutsAnyChunkingIntoTheSameFrames()
    {
        const bool held = rc::check([](const std::vector<std::string> &payloads) {
            frame_writer writer;
            for (const auto &payload : payloads) {
                writer.begin('D').bytes(payload).end();
            }
            frame_reader reader(1 << 20);
            std::vector<std::string> seen;
            std::string_view rest = writer.str();
            while (!rest.empty()) {
                const auto count = std::min<std::size_t>(rest.size(), *rc::gen::inRange<std::size_t>(1, 40));
                reader.append(rest.substr(0, count));
                rest.remove_prefix(count);
                while (const auto frame = reader.next()) {
                    RC_ASSERT(frame->type == 'D');
                    seen.emplace_back(frame->payload);
                }
            }
            RC_ASSERT(seen == payloads);
            RC_ASSERT(reader.unread() == 0U);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against reads past the buffer on hostile input. */
    void survivesArbitraryBytes()
    {
        const bool held = rc::check([](const std::string &bytes, bool startup) {
            frame_reader reader(256);
            reader.setStartup(startup);
            reader.append(bytes);
            std::size_t consumed = 0;
            while (const auto frame = reader.next()) {
                consumed += frame->raw.size();
                payload_reader fields(frame->payload);
                while (!fields.failed() && fields.remaining() > 0) {
                    fields.readString();
                    fields.readInt32();
                }
            }
            RC_ASSERT(consumed + reader.unread() == bytes.size());
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against buffering a message only to refuse it afterwards. */
    void refusesOversizedMessageBeforeItsBody()
    {
        frame_reader reader(100);
        reader.append(std::string("Q\x7f\xff\xff\xff", 5));
        CPPUNIT_ASSERT(!reader.next());
        CPPUNIT_ASSERT(reader.error() == frame_error::TooLarge);
    }

    void payloadReaderStopsAtTheEnd()
    {
        payload_reader reader("ab");
        CPPUNIT_ASSERT_EQUAL(std::int32_t{0}, reader.readInt32());
        CPPUNIT_ASSERT(reader.failed());
    }

    /** Guards against a type read from a message that was taken already or from an untyped one. */
    void frontTypeSeesTheNextMessageOnly()
    {
        frame_writer writer;
        writer.begin('E').int32(7).end().begin('S').end();
        frame_reader reader(100);
        CPPUNIT_ASSERT_EQUAL('\0', reader.frontType());
        reader.append(writer.str());
        CPPUNIT_ASSERT_EQUAL('E', reader.frontType());
        reader.next();
        CPPUNIT_ASSERT_EQUAL('S', reader.frontType());
        reader.next();
        CPPUNIT_ASSERT_EQUAL('\0', reader.frontType());
        reader.setStartup(true);
        reader.append(writer.str());
        CPPUNIT_ASSERT_EQUAL('\0', reader.frontType());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pg_frame_test);
