#include "eventlog.h"

#include "capturedoutput.h"
#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace crocusdeal;
using namespace crocusdeal::test;

class event_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_log_test);
    CPPUNIT_TEST(writesOneLinePerEvent);
    CPPUNIT_TEST(floodOfOneEventDoesNotSuppressOthers);
    CPPUNIT_TEST(stalledReaderDoesNotBlockLogging);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against field values that split a line or look like further fields when they are not escaped. */
    void writesOneLinePerEvent()
    {
        const captured_output output;
        event_log log("i-1", log_level::Info);
        log.info("statement_refused").field("id", "q1").field("text", "two\nlines level=error").field("waited_ms", 7);
        log.debug("hidden");
        log.flush();
        const auto text = output.read();
        CPPUNIT_ASSERT_MESSAGE(text,
                               text.find("event=statement_refused id=q1 text=\"two lines level=error\" waited_ms=7\n")
                                   != std::string::npos);
        CPPUNIT_ASSERT(text.find("hidden") == std::string::npos);
    }

    /** Guards against an important line being dropped because another event is logged thousands of times. */
    void floodOfOneEventDoesNotSuppressOthers()
    {
        const captured_output output;
        event_log log("i-1", log_level::Info);
        for (int i = 0; i < 5000; ++i) {
            log.info("flood").field("i", i);
        }
        log.warn("primary_lost").field("service", "s");
        log.reportSuppressedLines();
        log.flush();
        const auto text = output.read();
        CPPUNIT_ASSERT(text.find("event=primary_lost") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("event=lines_left_out of=flood count=49") != std::string::npos);
        CPPUNIT_ASSERT(log.droppedLines() >= 4900);
    }

    /** Guards against a daemon that blocks on a full pipe because nothing reads its standard output. */
    void stalledReaderDoesNotBlockLogging()
    {
        const captured_output output;
        event_log log("i-1", log_level::Info);
        const auto before = systemNow();
        const std::string padding(2000, 'x');
        for (int i = 0; i < 40; ++i) {
            for (int kind = 0; kind < 20; ++kind) {
                log.info("event" + std::to_string(kind)).field("padding", padding);
            }
            log.flush();
        }
        CPPUNIT_ASSERT((systemNow() - before) < duration{1000});
        CPPUNIT_ASSERT(log.droppedLines() > 0);
        output.read();
        log.flush();
        CPPUNIT_ASSERT(output.read().find("event=") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_log_test);
