#include "sqlfunctions.h"

#include "sqlstore.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <string>

namespace crocusdeal
{

namespace
{

constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr std::size_t maxTextBytes = 1U << 28U;

statement_context &contextOf(sqlite3_context *call)
{
    return *static_cast<statement_context *>(sqlite3_user_data(call));
}

void resultText(sqlite3_context *call, const std::string &text)
{
    sqlite3_result_text64(call, text.data(), text.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
}

std::string argumentText(sqlite3_value *value)
{
    const auto *text = reinterpret_cast<const char *>(sqlite3_value_text(value));
    return text == nullptr ? std::string() : std::string(text, static_cast<std::size_t>(sqlite3_value_bytes(value)));
}

void callVersion(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    resultText(call, "PostgreSQL 15.0 (crocusdeal databasestandin)");
}

void resultTime(sqlite3_context *call, std::int64_t microseconds)
{
    const std::time_t seconds = microseconds / microsecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    std::snprintf(
        text.data() + length, text.size() - length, ".%06d+00", static_cast<int>(microseconds % microsecondsPerSecond));
    resultText(call, text.data());
}

void callNow(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    resultTime(call, contextOf(call).nowUs);
}

void callSleep(sqlite3_context *call, int /*count*/, sqlite3_value **values)
{
    const double seconds = sqlite3_value_double(values[0]);
    contextOf(call).sleepUs += static_cast<std::int64_t>(seconds * microsecondsPerSecond);
    resultText(call, "");
}

void callRepeat(sqlite3_context *call, int /*count*/, sqlite3_value **values)
{
    const auto text = argumentText(values[0]);
    const auto times = static_cast<std::size_t>(std::max(0, sqlite3_value_int(values[1])));
    if (text.size() * times > maxTextBytes) {
        sqlite3_result_error_toobig(call);
        return;
    }
    std::string result;
    result.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    resultText(call, result);
}

/** splitmix64: a replica that starts with the same seed computes the same values. */
void callRandom(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    auto &state = contextOf(call).random;
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    sqlite3_result_double(call, static_cast<double>(mixed >> 11U) * 0x1.0p-53);
}

void callBackendPid(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    sqlite3_result_int64(call, contextOf(call).backendPid);
}

void callNothing(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    resultText(call, "");
}

void callDatabase(sqlite3_context *call, int /*count*/, sqlite3_value ** /*values*/)
{
    resultText(call, "standin");
}

}

void registerFunctions(sqlite3 *handle, statement_context &context)
{
    const auto add = [&](const char *name, int arguments, void (*function)(sqlite3_context *, int, sqlite3_value **)) {
        sqlite3_create_function(handle, name, arguments, SQLITE_UTF8, &context, function, nullptr, nullptr);
    };
    add("version", 0, callVersion);
    add("now", 0, callNow);
    add("statement_timestamp", 0, callNow);
    add("clock_timestamp", 0, callNow);
    add("pg_sleep", 1, callSleep);
    add("repeat", 2, callRepeat);
    add("random", 0, callRandom);
    add("pg_backend_pid", 0, callBackendPid);
    add("current_database", 0, callDatabase);
    add("pg_advisory_lock", 1, callNothing);
    add("pg_advisory_unlock", 1, callNothing);
    add("set_config", 3, callNothing);
}

}
