#include "sessionvalues.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace crocusdeal;

class session_values_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_values_test);
    CPPUNIT_TEST(connectionHasExactlyTheValuesOfTheSession);
    CPPUNIT_TEST(nothingIsDiscardedInATransaction);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against session state leaking: a value or prepared name of another session is left on the connection. */
    void connectionHasExactlyTheValuesOfTheSession()
    {
        CPPUNIT_ASSERT(rc::check("values follow the session", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            std::vector<session_values> sessions(4);
            connection_values connection;
            std::map<std::string, std::string> held;
            std::map<std::string, prepared_shape> names;
            for (int i = 0; i < 200; ++i) {
                auto &session = sessions[random() % sessions.size()];
                const auto name = std::to_string(random() % 3);
                session.values[name] = std::to_string(random() % 2);
                const prepared_shape shape{random() % 2 == 0 ? effect::Read : effect::Write,
                                           std::to_string(random() % 400)};
                for (const auto &step : connection.setUpFor(session, &shape, false)) {
                    if (step.kind == setup_step::Discard) {
                        held.clear();
                        names.clear();
                    } else if (step.kind == setup_step::Set) {
                        held[step.name] = step.value;
                    } else {
                        names[step.name] = {step.preparedEffect, step.value};
                    }
                }
                RC_ASSERT(held == session.values);
                RC_ASSERT(names.at(connection.preparedName(shape)) == shape);
            }
        }));
    }

    /** Guards against a DISCARD within a transaction. */
    void nothingIsDiscardedInATransaction()
    {
        connection_values values;
        session_values session;
        for (int i = 0; i < 600; ++i) {
            const prepared_shape shape{effect::Read, std::to_string(i)};
            for (const auto &step : values.setUpFor(session, &shape, true)) {
                CPPUNIT_ASSERT(step.kind != setup_step::Discard);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_values_test);
