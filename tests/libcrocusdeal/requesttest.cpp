#include "request.h"
#include "requestkey.h"
#include "retrybudget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace crocusdeal;
using failure = request_failure;

namespace
{

constexpr request_scope reading;
constexpr request_scope writing{.mayCommit = true};
constexpr request_scope inside{.inTransaction = true};
constexpr request_scope commit{.mayCommit = true, .inTransaction = true, .endsTransaction = true};
constexpr request_scope endOfReading{.inTransaction = true, .endsTransaction = true};

bool tells(const error_answer &answer, std::string_view sqlState, session_effect effect)
{
    return answer.sqlState == sqlState && answer.effect == effect && !answer.message.empty();
}

request makeSent(const request_scope &scope)
{
    request sent(scope);
    sent.onSending();
    return sent;
}

}

class request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_test);
    CPPUNIT_TEST(saysNotRunOnlyBeforeSending);
    CPPUNIT_TEST(retriesOnlyWhatMayBeRepeated);
    CPPUNIT_TEST(retriesARefusedWriteOnlyOutsideOfTransactions);
    CPPUNIT_TEST(failsTransactionsThatLostTheirConnection);
    CPPUNIT_TEST(saysUnknownOfEveryCommitThatMayHaveRun);
    CPPUNIT_TEST(closesIdleSessionsAtShutdown);
    CPPUNIT_TEST(limitsRetriesToAFractionOfTraffic);
    CPPUNIT_TEST(doesNotSaveUpRetriesWhileIdle);
    CPPUNIT_TEST(storesOutcomes);
    CPPUNIT_TEST(quotesKeys);
    CPPUNIT_TEST(runsAKeyedRequestOnce);
    CPPUNIT_TEST(answersARepeatWithTheFirstOutcome);
    CPPUNIT_TEST(startsAgainAfterALostConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against telling a caller that a request was not run when it may have been. */
    void saysNotRunOnlyBeforeSending()
    {
        for (const auto reason :
             {failure::NoTarget, failure::ConnectionLost, failure::DeadlinePassed, failure::Shutdown}) {
            request waiting(writing);
            CPPUNIT_ASSERT(tells(waiting.fail(reason), "57P03", session_effect::None));
            CPPUNIT_ASSERT(waiting.state() == request_state::Answered);
            CPPUNIT_ASSERT(tells(makeSent(writing).fail(reason), "08007", session_effect::HistoryUnknown));
        }
        request refused(reading);
        CPPUNIT_ASSERT(tells(refused.fail(failure::Refused), "53300", session_effect::None));
        auto undone = makeSent(writing);
        undone.onRefusedByTarget(); // 25006: nothing was done.
        CPPUNIT_ASSERT(undone.fail(failure::NoTarget).sqlState == "57P03");
        CPPUNIT_ASSERT(tells(makeSent(reading).fail(failure::ConnectionLost), "08006", session_effect::None));
    }

    /** Guards against running a write or a part of a transaction twice, and against answering twice. */
    void retriesOnlyWhatMayBeRepeated()
    {
        auto read = makeSent(reading);
        CPPUNIT_ASSERT(read.mayRetry(failure::ConnectionLost));
        CPPUNIT_ASSERT(!read.mayRetry(failure::DeadlinePassed));
        read.onRetry();
        CPPUNIT_ASSERT(read.state() == request_state::NotSent);
        read.onSending();
        read.onForwarded();
        CPPUNIT_ASSERT(!read.mayRetry(failure::ConnectionLost));
        read.onRefusedByTarget();
        CPPUNIT_ASSERT(read.state() == request_state::Sent);

        request write(writing);
        CPPUNIT_ASSERT(write.mayRetry(failure::NoTarget));
        write.onSending();
        CPPUNIT_ASSERT(!write.mayRetry(failure::ConnectionLost));
        CPPUNIT_ASSERT(!request(inside).mayRetry(failure::ConnectionLost));
        for (const auto &scope : {inside, commit, endOfReading}) {
            CPPUNIT_ASSERT(!makeSent(scope).mayRetry(failure::ConnectionLost));
        }
        // The messages after a Flush made a write of it.
        auto widened = makeSent(reading);
        widened.setScope(writing);
        CPPUNIT_ASSERT(!widened.mayRetry(failure::ConnectionLost));
    }

    /** Guards against repeating a batch that committed its first part before a replica refused the rest. */
    void retriesARefusedWriteOnlyOutsideOfTransactions()
    {
        for (const auto &scope : {reading, writing}) {
            auto refused = makeSent(scope);
            CPPUNIT_ASSERT(!refused.mayRetry(failure::ReadOnlyTarget)); // The refusal was not reported yet.
            refused.onRefusedByTarget();
            CPPUNIT_ASSERT(refused.mayRetry(failure::ReadOnlyTarget));
        }
        constexpr request_scope wholeTransaction{.mayCommit = true, .endsTransaction = true};
        for (const auto &scope : {inside, commit, endOfReading, wholeTransaction}) {
            auto refused = makeSent(scope);
            refused.onRefusedByTarget();
            CPPUNIT_ASSERT(!refused.mayRetry(failure::ReadOnlyTarget));
        }
        auto forwarded = makeSent(writing);
        forwarded.onForwarded();
        forwarded.onRefusedByTarget();
        CPPUNIT_ASSERT(!forwarded.mayRetry(failure::ReadOnlyTarget));
    }

    /** Guards against a caller that goes on in a transaction that has lost its first part. */
    void failsTransactionsThatLostTheirConnection()
    {
        request notSent(inside);
        CPPUNIT_ASSERT(tells(notSent.fail(failure::ConnectionLost), "40001", session_effect::TransactionFailed));
        CPPUNIT_ASSERT(
            tells(makeSent(inside).fail(failure::ConnectionLost), "40001", session_effect::TransactionFailed));
        // Its end needs no further ROLLBACK.
        CPPUNIT_ASSERT(tells(makeSent(endOfReading).fail(failure::ConnectionLost), "40001", session_effect::None));
    }

    /** Guards against "rolled back" or a retry after a commit whose answer or confirmation is missing. */
    void saysUnknownOfEveryCommitThatMayHaveRun()
    {
        CPPUNIT_ASSERT(tells(makeSent(commit).fail(failure::ConnectionLost), "08007", session_effect::HistoryUnknown));
        // A transaction that ended without a statement known to end it, and one whose batch was refused in part.
        auto ended = makeSent(inside);
        ended.onRefusedByTarget();
        ended.onCommitted();
        CPPUNIT_ASSERT(!ended.mayRetry(failure::NotConfirmed));
        CPPUNIT_ASSERT(tells(ended.fail(failure::NotConfirmed), "08007", session_effect::HistoryUnknown));
    }

    /** Guards against an error of the shutdown that looks like one of a request. */
    void closesIdleSessionsAtShutdown()
    {
        request answered(reading);
        answered.onAnswered();
        CPPUNIT_ASSERT(tells(answered.fail(failure::Shutdown), "57P01", session_effect::Closes));
        request none;
        CPPUNIT_ASSERT(tells(none.fail(failure::Shutdown), "57P01", session_effect::Closes));
    }

    /** Guards against retries that multiply the load of a failure. */
    void limitsRetriesToAFractionOfTraffic()
    {
        retry_budget budget;
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onRequest({0});
            retries += budget.tryRetry({0}) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 100 && retries <= 101);
    }

    /** Guards against a burst of retries after idle time, and against no retry at all with little traffic. */
    void doesNotSaveUpRetriesWhileIdle()
    {
        retry_budget budget;
        CPPUNIT_ASSERT(budget.tryRetry({0}));
        CPPUNIT_ASSERT(!budget.tryRetry({999}));
        CPPUNIT_ASSERT(budget.tryRetry({600000}));
        CPPUNIT_ASSERT(!budget.tryRetry({600000}));
    }

    /** Guards against a repeat that gets another answer than the first run, and against large rows. */
    void storesOutcomes()
    {
        for (std::size_t size = 1; size < 8; ++size) {
            const request_outcome outcome{std::string(size, '\0') + "'\xff", "INSERT 0 1"};
            CPPUNIT_ASSERT(decodeOutcome(encodeOutcome(outcome)) == outcome);
        }
        const request_outcome tooLong{std::string(maxOutcomeBytes + 1, 'x'), "SELECT 7000"};
        CPPUNIT_ASSERT(decodeOutcome(encodeOutcome(tooLong)) == (request_outcome{{}, "SELECT 7000"}));
        for (const char *text : {"", "x", "fINSERT", "fINSERT 0 1 ====", "fINSERT 0 1 a"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeOutcome(text));
        }
    }

    /** Guards against a key that ends its literal and brings in other statements. */
    void quotesKeys()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("SELECT outcome FROM crocusdeal_requests WHERE request_key = 'a''; --'"),
                             request_key_statements::find("a'; --"));
        CPPUNIT_ASSERT(isValidRequestKey("order-17 'x'"));
        for (const auto &key : {std::string(),
                                std::string("a\\"),
                                std::string("\xc3\xa9"),
                                std::string(257, 'k'),
                                std::string(1, '\0')}) {
            CPPUNIT_ASSERT(!isValidRequestKey(key));
        }
    }

    /** Guards against a commit without the key or the outcome in the same transaction. */
    void runsAKeyedRequestOnce()
    {
        request_key key;
        CPPUNIT_ASSERT(key.step() == key_step::Claim);
        CPPUNIT_ASSERT(key.onClaimed(true) == key_step::Run);
        CPPUNIT_ASSERT(key.onRun({"frames", "INSERT 0 1"}) == key_step::Store);
        CPPUNIT_ASSERT(key.onStored() == key_step::Commit);
        CPPUNIT_ASSERT(key.onCommitted() == key_step::AnswerOutcome);
        request_key failed;
        failed.onClaimed(true);
        CPPUNIT_ASSERT(failed.onError("22012", true) == key_step::AnswerError); // The key is free again.
    }

    /** Guards against running the effect of a request twice. */
    void answersARepeatWithTheFirstOutcome()
    {
        const request_outcome first{"frames", "INSERT 0 1"};
        request_key repeat;
        CPPUNIT_ASSERT(repeat.onClaimed(false) == key_step::Find);
        CPPUNIT_ASSERT(repeat.onFound(encodeOutcome(first)) == key_step::AnswerOutcome);
        CPPUNIT_ASSERT(repeat.outcome() == first);
        request_key deleted;
        deleted.onClaimed(false);
        CPPUNIT_ASSERT(deleted.onFound(std::nullopt) == key_step::AnswerUnknown);
    }

    /** Guards against "not run" for a commit whose answer was lost, and against running it again beside the claim. */
    void startsAgainAfterALostConnection()
    {
        request_key key;
        CPPUNIT_ASSERT(key.onConnectionLost(true) == key_step::Claim);
        key.onClaimed(true);
        key.onRun({"frames", "INSERT 0 1"});
        key.onStored();
        CPPUNIT_ASSERT(key.onError("57P01", true) == key_step::Claim);
        CPPUNIT_ASSERT(key.onClaimed(false) == key_step::Find);
        CPPUNIT_ASSERT(key.onConnectionLost(true) == key_step::AnswerUnknown); // The third attempt.

        request_key notSent;
        CPPUNIT_ASSERT(notSent.onConnectionLost(false) == key_step::AnswerNotRun);
        request_key deferred;
        deferred.onClaimed(true);
        deferred.onRun({});
        deferred.onStored();
        CPPUNIT_ASSERT(deferred.onError("23505", true) == key_step::AnswerError);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_test);
