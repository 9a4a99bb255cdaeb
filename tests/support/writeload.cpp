#include "writeload.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

namespace crocusdeal
{

namespace
{

using namespace std::chrono_literals;

/** Above every deadline of the product, so that an answer that never comes shows as "timeout". */
constexpr std::chrono::milliseconds answerLimit = 20s;
constexpr std::chrono::milliseconds pauseAfterLoss = 20ms;
/** Leaves the machine some time when a target refuses at once. */
constexpr std::chrono::milliseconds pauseAfterRefusal = 5ms;

constexpr std::size_t maxListed = 10;

bool endsSession(const pg_client &client, const std::string &sqlState)
{
    return sqlState == "timeout" || !client.connected();
}

}

bool load_record::isAcknowledged() const
{
    return sqlState.empty();
}

bool load_record::isRefused() const
{
    return sqlState == "57P03" || sqlState == "53300" || sqlState == "25006";
}

std::uint64_t load_record::term() const
{
    const auto colon = token.rfind(':');
    return colon == std::string::npos ? 0 : std::stoull(token.substr(colon + 1));
}

write_load::write_load(const cluster &target,
                       std::vector<std::size_t> instances,
                       int callers,
                       reconnect after,
                       std::chrono::milliseconds pause,
                       std::string parameters)
    : m_cluster(target)
    , m_instances(std::move(instances))
    , m_reconnect(after)
    , m_pause(pause)
    , m_parameters(std::move(parameters))
{
    int caller = 0;
    for (const auto instance : m_instances) {
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([this, instance, caller] { run(instance, caller); });
            ++caller;
        }
    }
}

write_load::~write_load()
{
    stop();
}

void write_load::stop()
{
    m_stopped = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::vector<load_record> write_load::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

void write_load::run(std::size_t instance, int caller)
{
    while (!m_stopped) {
        auto client = m_cluster.connect(instance, m_parameters);
        while (!m_stopped && client.connected()) {
            load_record record;
            record.id = m_nextId++;
            record.instance = instance;
            record.sent = load_clock::now();
            const auto sql = "INSERT INTO w VALUES (" + std::to_string(record.id) + ", " + std::to_string(caller) + ")";
            record.sqlState = client.runWithin(sql, answerLimit).sqlState;
            record.answered = load_clock::now();
            record.token = client.parameterStatus("crocusdeal.session");
            const bool refused = record.isRefused();
            const bool ended = endsSession(client, record.sqlState);
            {
                const std::lock_guard lock(m_mutex);
                m_records.push_back(std::move(record));
            }
            if (ended) {
                break;
            }
            std::this_thread::sleep_for(refused ? std::max(m_pause, pauseAfterRefusal) : m_pause);
        }
        if (m_reconnect == reconnect::OtherInstance) {
            const auto at = std::find(m_instances.begin(), m_instances.end(), instance);
            instance = std::next(at) == m_instances.end() ? m_instances.front() : *std::next(at);
        }
        std::this_thread::sleep_for(pauseAfterLoss);
    }
}

bool write_load::waitForWrite(load_clock::time_point from,
                              std::chrono::milliseconds timeout,
                              const std::vector<std::size_t> &instances) const
{
    const auto isWanted = [&](const load_record &record) {
        return record.sent >= from && std::find(instances.begin(), instances.end(), record.instance) != instances.end();
    };
    const bool written = waitFor(timeout, [&] {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_records.rbegin(), m_records.rend(), [&](const load_record &record) {
            return record.isAcknowledged() && isWanted(record);
        });
    });
    if (!written) {
        std::vector<load_record> told;
        const auto all = records();
        std::copy_if(all.begin(), all.end(), std::back_inserter(told), isWanted);
        std::cout << "\nno write acknowledged, instead: " << summary(told) << std::endl;
    }
    return written;
}

read_load::read_load(const cluster &target, const std::vector<std::size_t> &instances)
    : m_cluster(target)
{
    for (const auto instance : instances) {
        m_threads.emplace_back([this, instance] { run(instance); });
    }
}

read_load::~read_load()
{
    stop();
}

void read_load::stop()
{
    m_stopped = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::vector<load_record> read_load::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

void read_load::run(std::size_t instance)
{
    auto client = m_cluster.connect(instance);
    while (!m_stopped) {
        load_record record;
        record.instance = instance;
        record.sent = load_clock::now();
        record.sqlState = client.runWithin("SELECT count(*) FROM w", answerLimit).sqlState;
        record.answered = load_clock::now();
        const bool ended = endsSession(client, record.sqlState);
        {
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        if (ended) {
            client = m_cluster.connect(instance);
        }
        std::this_thread::sleep_for(2ms);
    }
}

std::chrono::milliseconds read_load::longestGap() const
{
    std::map<std::size_t, load_clock::time_point> last;
    load_clock::duration longest{};
    for (const auto &record : records()) {
        if (!record.isAcknowledged()) {
            continue;
        }
        const auto [found, first] = last.emplace(record.instance, record.answered);
        longest = std::max(longest, record.answered - found->second);
        found->second = record.answered;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

std::chrono::milliseconds gapUntilNewTerm(const std::vector<load_record> &records,
                                          load_clock::time_point since,
                                          std::uint64_t term)
{
    for (const auto &record : records) {
        if (record.isAcknowledged() && record.term() > term) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(record.answered - since);
        }
    }
    return std::chrono::milliseconds::max();
}

std::vector<load_record> acknowledgedAfterNewerTerm(const std::vector<load_record> &records)
{
    std::vector<load_record> late;
    std::uint64_t highest = 0;
    for (const auto &record : records) {
        if (!record.isAcknowledged()) {
            continue;
        }
        if (record.term() < highest) {
            late.push_back(record);
        }
        highest = std::max(highest, record.term());
    }
    return late;
}

std::string contradictions(const std::vector<load_record> &records, const database_process &database)
{
    std::map<std::int64_t, int> rows;
    for (const auto &row : pg_client(database.port()).run("SELECT id, count(*) FROM w GROUP BY id").rows) {
        rows[std::stoll(row.at(0))] = std::stoi(row.at(1));
    }
    std::size_t found = 0;
    std::ostringstream text;
    for (const auto &record : records) {
        const auto count = rows.contains(record.id) ? rows.at(record.id) : 0;
        const bool wrong = (record.isAcknowledged() && count != 1) || (record.isRefused() && count != 0) || count > 1
            || record.sqlState == "timeout";
        if (wrong && ++found <= maxListed) {
            text << "id " << record.id << " told \"" << record.sqlState << "\" " << record.token << " is there "
                 << count << " times; ";
        }
    }
    if (found > 0) {
        text << found << " in all";
    }
    return text.str();
}

std::string summary(const std::vector<load_record> &records)
{
    std::map<std::string, int> counts;
    for (const auto &record : records) {
        ++counts[record.isAcknowledged() ? "acknowledged" : record.sqlState];
    }
    std::ostringstream text;
    for (const auto &[what, count] : counts) {
        text << what << ' ' << count << ' ';
    }
    return text.str();
}

}
