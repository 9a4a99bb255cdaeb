#include "responserelay.h"
#include "pgframe.h"
#include "requestbatch.h"
#include "statementmap.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace crocusdeal;

namespace
{

std::string frame(char type, std::string_view payload = {})
{
    frame_writer writer;
    writer.begin(type).bytes(payload).end();
    return writer.take();
}

std::string ready(char status)
{
    frame_writer writer;
    writeReadyForQuery(writer, status);
    return writer.take();
}

std::string errorFrame(const std::string &sqlState)
{
    frame_writer writer;
    writeError(writer, {"ERROR", sqlState, "refused", {}, {}});
    return writer.take();
}

/** A batch that prepares @p name, binds and executes it. */
request_batch makeBatch(bool withParse, const std::string &name, const std::string &text)
{
    frame_writer writer;
    if (withParse) {
        writer.begin('P').string(name).string(text).int16(0).end();
    }
    writer.begin('B').string("").string(name).int16(0).int16(0).int16(0).end();
    writer.begin('E').string("").int32(0).end();
    writer.begin('S').end();
    frame_reader reader(1 << 20);
    reader.append(writer.str());
    request_batch batch;
    while (const auto next = reader.next()) {
        batch.add(*next);
    }
    return batch;
}

std::string typesOf(const std::string &frames)
{
    frame_reader reader(1 << 20);
    reader.append(frames);
    std::string types;
    while (const auto next = reader.next()) {
        types.push_back(next->type);
    }
    return types;
}

struct relay_run {
    response_relay relay;
    std::string out;
    std::vector<std::string> prepared;
    std::string groupState;
    response_relay::progress last = response_relay::progress::More;

    void feed(const std::string &bytes, std::size_t chunk)
    {
        relay_hooks hooks;
        hooks.onGroupState = [this](std::string_view value) { groupState = std::string(value); };
        hooks.onPrepared = [this](const std::string &name) { prepared.push_back(name); };
        frame_reader reader(std::size_t{1} << 30U);
        for (std::size_t at = 0; at < bytes.size(); at += chunk) {
            reader.append(std::string_view(bytes).substr(at, chunk));
            last = relay.consume(reader, out, hooks);
        }
    }
};

}

class response_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_relay_test);
    CPPUNIT_TEST(forwardsTheWholeAnswerInAnyChunks);
    CPPUNIT_TEST(holdsCompletionUntilTaken);
    CPPUNIT_TEST(preparesAgainOnAnotherConnection);
    CPPUNIT_TEST(makesTheAnswerForAHeldStatement);
    CPPUNIT_TEST(errorInAnInjectedParseReachesTheCaller);
    CPPUNIT_TEST(copyIsNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against rows that are lost, doubled or cut, also when a row is larger than any buffer. */
    void forwardsTheWholeAnswerInAnyChunks()
    {
        const bool held = rc::check([] {
            const auto rows = *rc::gen::inRange(0, 5);
            std::string answer = frame('T', "columns");
            for (int i = 0; i < rows; ++i) {
                const auto size = *rc::gen::element<std::size_t>(0, 10, 3000, 200000);
                answer += frame('D', std::string(size, static_cast<char>('a' + i)));
            }
            answer += frame('C', std::string("SELECT 1\0", 9));
            relay_run run;
            run.relay.beginSimple(false);
            const auto chunk = *rc::gen::element<std::size_t>(1000, 7777, 70000);
            run.feed(answer + ready('I'), chunk);
            RC_ASSERT(run.last == response_relay::progress::Done);
            RC_ASSERT(run.out == answer);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against an acknowledgement that leaves before the write was confirmed. */
    void holdsCompletionUntilTaken()
    {
        relay_run run;
        run.relay.beginSimple(true);
        frame_writer state;
        writeParameterStatus(state, "group_state", "3 primary 3/17");
        run.feed(frame('C', std::string("INSERT 0 1\0", 11)) + state.str() + ready('I'), 4);
        CPPUNIT_ASSERT(run.out.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("C"), typesOf(run.relay.takeHeld()));
        CPPUNIT_ASSERT_EQUAL(std::string("3 primary 3/17"), run.groupState);
    }

    /** Guards against "prepared statement does not exist" after the session moved to another connection. */
    void preparesAgainOnAnotherConnection()
    {
        statement_map statements;
        statements.apply(makeBatch(true, "s1", "select 1"));
        auto translated = statements.translate(makeBatch(false, "s1", ""), {}, "");
        CPPUNIT_ASSERT_EQUAL(std::string("PBES"), typesOf(translated.bytes));
        relay_run run;
        run.relay.beginExtended(translated, false);
        run.feed(frame('1') + frame('2') + frame('D', "row") + frame('C', "x") + ready('I'), 1000);
        CPPUNIT_ASSERT_EQUAL(std::string("2DC"), typesOf(run.out));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.prepared.size());
        CPPUNIT_ASSERT_EQUAL(statements.find("s1")->targetName, run.prepared.front());
    }

    /** Guards against preparing a statement twice on one connection, which the database refuses. */
    void makesTheAnswerForAHeldStatement()
    {
        statement_map statements;
        const auto batch = makeBatch(true, "s1", "select 1");
        statements.apply(batch);
        auto translated = statements.translate(batch, {statements.find("s1")->targetName}, "");
        CPPUNIT_ASSERT_EQUAL(std::string("BES"), typesOf(translated.bytes));
        relay_run run;
        run.relay.beginExtended(translated, false);
        run.feed(frame('2') + frame('C', "x") + ready('I'), 1000);
        CPPUNIT_ASSERT_EQUAL(std::string("12C"), typesOf(run.out));
    }

    /** Guards against answers that are counted wrongly once the target skips to the Sync. */
    void errorInAnInjectedParseReachesTheCaller()
    {
        statement_map statements;
        statements.apply(makeBatch(true, "s1", "select wrong"));
        auto translated = statements.translate(makeBatch(false, "s1", ""), {}, "");
        relay_run run;
        run.relay.beginExtended(translated, false);
        run.feed(errorFrame("42703") + ready('I'), 7);
        CPPUNIT_ASSERT(run.last == response_relay::progress::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("E"), typesOf(run.out));
        CPPUNIT_ASSERT(run.prepared.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("42703"), run.relay.error()->sqlState);
    }

    /** Guards against a COPY that would leave caller and target in different states. */
    void copyIsNotPassedOn()
    {
        relay_run run;
        run.relay.beginSimple(false);
        run.feed(frame('G', "x"), 100);
        CPPUNIT_ASSERT(run.last == response_relay::progress::Broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_relay_test);
