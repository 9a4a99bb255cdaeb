#include "faultworld.h"

#include <nlohmann/json.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

using nlohmann::json;

const std::string serviceName = "orders-db-1";
const std::vector<std::string> dataCentres{"sapporo-a", "ebetsu-b", "chitose-c"};

constexpr duration warmUp{4000};
constexpr duration settling{25000}; // After the last fault, so that late calls are carried out before the check.
constexpr duration closingTime{300};
constexpr duration heartbeat{1200};
constexpr duration watchPause{500}; // Between two looks at the daemons.
constexpr duration restartDelay{300}; // Of a daemon that was killed.
constexpr duration drainTime{7000};
constexpr duration armedTime{12000}; // Until the order comes that a crash is to meet.
constexpr duration crashAfterOrder{100};
constexpr duration shortCrash{200};
constexpr duration longestRestart{2500}; // Of a target; longer than it takes until its entry is removed.
constexpr duration shortestEntryLoss{7000};
constexpr duration longestEntryLoss{9000};
constexpr duration killAfterEntry{1000}; // From the loss of the entry until an instance starts again.
constexpr duration crashAfterEntry{5000}; // By then the instance has heard from the primary how far its log goes.
constexpr duration unheardTime{300}; // Before the crash; shorter than it takes to suspect the primary.
constexpr duration shortestEntryCrash{3000}; // Of the primary, so that it is replaced.
constexpr duration readerPause{50};
constexpr int writersEach = 3;
constexpr std::int64_t firstBorn = 1'790'000'000'000;
constexpr std::size_t replicasAtStart = 2;
constexpr std::size_t mostReplicas = 4;

review::database_figures figures()
{
    review::database_figures one;
    one.entriesEach = 500;
    return one;
}

json configuration()
{
    const json route{{"name", "route-orders"},
                     {"host", "orders"},
                     {"service", serviceName},
                     {"route_type", "primary"},
                     {"timeout_ms", 800},
                     {"target_latency_ms", 200},
                     {"priority", 1}};
    return {{"config_version", 11},
            {"routes", json::array({route})},
            {"services", {{{"name", serviceName}, {"max_connections", 16}, {"sync_replicas", 1}}}},
            {"limits", {{"tx_idle_ms", 5000}}}};
}

std::vector<std::string> requestsOf(const review::database &one)
{
    std::vector<std::string> requests;
    for (const auto &entry : one.log) {
        requests.push_back(entry.request);
    }
    return requests;
}

bool isPromise(const std::string &answer)
{
    for (const char *code : {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}) {
        if (answer.rfind(std::string("ERROR ") + code, 0) == 0) {
            return true;
        }
    }
    return false;
}

std::uint64_t numberOf(const std::string &data)
{
    const auto digits = data.find_first_of("0123456789");
    return digits == std::string::npos ? 0 : std::stoull(data.substr(digits));
}

/** The data of the first row of an answer. */
std::string rowOf(const std::string &answer)
{
    const std::string word = "DATAROW ";
    const auto begin = answer.find(word);
    if (begin == std::string::npos) {
        return {};
    }
    const auto end = answer.find('|', begin);
    return answer.substr(begin + word.size(), end - begin - word.size());
}

}

fault_world::fault_world(fault_options options)
    : m_options(std::move(options))
    , m_record(m_options.directory + "/record.txt")
    , m_random(m_options.seed)
    , m_store(m_loop, m_options.instances)
    , m_authority(m_loop)
    , m_databases(m_loop, serviceName, m_options.instances, [this](const std::string &line) { record(line); })
{
    m_check.onFinding = [this](const std::string &finding) { record("FINDING " + finding); };
    m_store.put("config", "main", configuration());
    m_store.onAnswer = [this](std::size_t path, std::string text) {
        for (const auto &[id, one] : m_databases.databases) {
            const auto name = "\"at:" + id + "\"";
            for (auto at = text.find(name); at != std::string::npos; at = text.find(name)) {
                text.replace(at, name.size(), "\"" + one->address(path) + "\"");
            }
        }
        return text;
    };
    m_authority.onCall = [this](const review::promotion_service::order &order) { return handleCall(order); };
    m_authority.onOrder = [this](const review::promotion_service::order &order) {
        const bool isSlow = m_loop.now() < m_slowUntil;
        const auto takes = isSlow ? m_options.slowOrderEffect : m_options.orderEffect;
        record("the platform carries out: " + order.target + " is to lead in " + std::to_string(takes.ms)
               + " ms, token " + std::to_string(order.token));
        if (!m_databases.databases.contains(order.target)) {
            return false;
        }
        auto &until = m_orderedUntil[order.target];
        until = std::max(until, m_loop.now() + takes.ms + 1000); // An earlier order may take longer.
        return m_databases.promote(order.target, takes.ms);
    };
    m_databases.onPromoted = [this](review::database &leader) { handlePromoted(leader); };
}

fault_world::~fault_world()
{
    m_isOver = true;
    for (const auto &one : m_instances) {
        ::kill(one.process, SIGKILL);
        ::waitpid(one.process, nullptr, 0);
    }
    for (const auto &caller : m_callers) {
        caller->reconnects = false;
    }
    // The stand-ins drop what they hold for a connection when they notice its end.
    m_loop.runUntil(m_loop.now() + closingTime.ms);
}

void fault_world::run(const std::vector<planned_fault> &faults, duration length)
{
    for (std::size_t i = 0; i <= replicasAtStart; ++i) {
        const auto id = newTargetId();
        m_databases.add(id, figures());
        publish(id);
    }
    startInstances();
    watchInstances();
    m_loop.runUntil(m_loop.now() + warmUp.ms);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        addCallers(i);
    }
    record("the load begins");
    for (const auto &fault : faults) {
        m_loop.after(fault.at.ms, [this, fault] { strike(fault); });
    }
    m_loop.runUntil(m_loop.now() + (length + settling).ms);
    m_isOver = true;
    if (auto *primary = m_databases.primary()) {
        m_check.ended(requestsOf(*primary));
    }
    record("acknowledged " + std::to_string(m_check.acknowledged()) + ", promotions " + std::to_string(m_promotions)
           + ", findings " + std::to_string(m_check.findings()));
}

const record_check &fault_world::check() const
{
    return m_check;
}

int fault_world::promotions() const
{
    return m_promotions;
}

void fault_world::record(const std::string &line)
{
    m_record << m_loop.now() << " ms  " << line << '\n';
}

void fault_world::startInstances()
{
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        instance one;
        const auto &dataCentre = dataCentres.at(i % dataCentres.size());
        one.name = "front-" + dataCentre + "-" + std::to_string(i + 1);
        one.callers = review::freeAddress(m_loop);
        const json settings{{"instance", one.name},
                            {"data_centre", dataCentre},
                            {"caller_address", one.callers},
                            {"readiness", {{"address", review::freeAddress(m_loop)}, {"path", "/api/ready"}}},
                            {"metrics_address", review::freeAddress(m_loop)},
                            {"relay_address", review::freeAddress(m_loop)},
                            {"store_address", m_store.address(i)},
                            {"authority_address", m_authority.address()},
                            {"drain_ms", drainTime.ms},
                            {"grace_s", 6},
                            {"configuration_apply_ms", 3000}};
        one.settings = m_options.directory + "/" + one.name + ".json";
        std::ofstream(one.settings) << settings.dump(1) << '\n';
        one.process = startProcess(one);
        m_instances.push_back(one);
    }
}

pid_t fault_world::startProcess(const instance &one) const
{
    const auto log = m_options.directory + "/" + one.name + ".log";
    const auto child = ::fork();
    if (child < 0) {
        throw std::runtime_error("cannot start " + one.name); // Its number would stand for every process of the user.
    }
    if (child != 0) {
        return child;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0); // The listeners of the stand-ins are not the daemon's.
    ::execl(m_options.program.c_str(), m_options.program.c_str(), "--settings", one.settings.c_str(), nullptr);
    ::_exit(127);
}

void fault_world::watchInstances()
{
    if (m_isOver) {
        return;
    }
    for (const auto &one : m_instances) {
        siginfo_t ended{};
        // The process is left to be waited for: the destructor ends all by their ids.
        const bool isKnown = ::waitid(P_PID, one.process, &ended, WEXITED | WNOHANG | WNOWAIT) == 0;
        if (!isKnown || ended.si_pid != 0) {
            const auto line = one.name + " has ended by itself, the run checks nothing; see its log";
            record(line);
            throw std::runtime_error(line);
        }
    }
    m_loop.after(watchPause.ms, [this] { watchInstances(); });
}

void fault_world::addCallers(std::size_t which)
{
    const auto &callers = m_instances.at(which).callers;
    for (int i = 0; i < writersEach; ++i) {
        const auto item = "w" + std::to_string(which) + "x" + std::to_string(i);
        const auto writer = std::make_shared<review::client>(m_loop, callers, "orders", "c" + item);
        writer->next = [this, raw = writer.get(), item, count = 0]() mutable {
            raw->pauseMs = 1 + drawn(m_options.writerPause).ms;
            return "WRITE " + item + " d" + std::to_string(++count);
        };
        writer->onResult = [this, which, item](const review::client::result &result) {
            handleWrite(which, result, item);
        };
        writer->start();
        m_callers.push_back(writer);
    }
    const auto name = "r" + std::to_string(which);
    // Reads what was written through the next instance.
    const auto item = "w" + std::to_string((which + 1) % m_instances.size()) + "x0";
    const auto reader = std::make_shared<review::client>(m_loop, callers, "orders", name);
    reader->pauseMs = readerPause.ms;
    reader->next = [this, name, item] {
        m_requiredByRead[name] = m_check.required(item);
        return "READ " + item;
    };
    reader->onResult = [this, name, item](const review::client::result &result) {
        if (result.isSuccess && !m_isOver) {
            m_check.readAnswered(result.id, item, m_requiredByRead[name], numberOf(rowOf(result.answer)));
        }
    };
    reader->start();
    m_callers.push_back(reader);
}

void fault_world::handleWrite(std::size_t which, const review::client::result &result, const std::string &item)
{
    if (m_isOver) {
        return;
    }
    std::istringstream words(result.text);
    std::string word;
    std::string data;
    words >> word >> word >> data;
    const record_check::write_answer answer{result.id, item, numberOf(data), m_instances.at(which).name, m_loop.now()};
    record(result.id + " sent at " + std::to_string(result.sentAt) + " ms through " + answer.instance + ": "
           + result.text + " -> " + (result.answer.empty() ? "no answer" : result.answer));
    if (isPromise(result.answer)) {
        m_check.writeRefused(answer);
    }
    if (result.isSuccess) {
        const auto held = primaryLog();
        m_check.writeAcknowledged(answer, m_databases.primary() != nullptr ? &held : nullptr);
    }
}

std::set<std::string> fault_world::primaryLog()
{
    const auto *primary = m_databases.primary();
    if (primary == nullptr) {
        return {};
    }
    const auto requests = requestsOf(*primary);
    return {requests.begin(), requests.end()};
}

void fault_world::strike(const planned_fault &fault)
{
    switch (fault.kind) {
    case fault_kind::PrimaryCut:
    case fault_kind::PrimaryCrash:
    case fault_kind::PrimaryDark:
    case fault_kind::PrimaryRelease:
        if (const auto primary = primaryId()) {
            strikePrimary(fault, *primary);
        }
        return;
    case fault_kind::EntryLost:
        loseEntry(fault);
        return;
    case fault_kind::ReplicaCrash:
    case fault_kind::ReplicaRelease:
    case fault_kind::ReplicaDeaf:
    case fault_kind::ReplicaCut: {
        const auto replicas = runningReplicas();
        if (!replicas.empty()) {
            strikeReplica(fault, replicas.at(fault.choice % replicas.size()));
        }
        return;
    }
    case fault_kind::ReplicaJoin:
        if (runningReplicas().size() < mostReplicas) {
            join(drawn(m_options.listingDelay));
        }
        return;
    case fault_kind::LateOrder:
    case fault_kind::SlowOrder:
    case fault_kind::StoreAway:
    case fault_kind::ReplicaCrashAtOrder:
        strikePlatform(fault);
        return;
    case fault_kind::InstanceFreeze:
    case fault_kind::InstanceKill:
        strikeInstance(fault);
        return;
    }
}

void fault_world::strikePrimary(const planned_fault &fault, const std::string &primary)
{
    if (fault.kind == fault_kind::PrimaryCut) {
        cutFromSome(primary, fault);
    } else if (fault.kind == fault_kind::PrimaryCrash) {
        crash(primary, fault);
    } else if (fault.kind == fault_kind::PrimaryDark) {
        darken(primary, fault.length);
    } else {
        release(primary, fault);
    }
}

void fault_world::strikeReplica(const planned_fault &fault, const std::string &replica)
{
    if (fault.kind == fault_kind::ReplicaCrash) {
        crash(replica, fault);
    } else if (fault.kind == fault_kind::ReplicaRelease) {
        release(replica, fault);
    } else if (fault.kind == fault_kind::ReplicaCut) {
        cutFromSome(replica, fault);
    } else {
        record(replica + " receives nothing for " + std::to_string(fault.length.ms) + " ms");
        const auto one = m_databases.databases.at(replica);
        one->isDeaf = true;
        m_loop.after(fault.length.ms, [this, one] {
            record(one->id() + " receives again");
            one->isDeaf = false;
            m_databases.transferAll();
        });
    }
}

void fault_world::strikePlatform(const planned_fault &fault)
{
    if (fault.kind == fault_kind::StoreAway) {
        turnAway(fault);
    } else if (fault.kind == fault_kind::LateOrder) {
        sendLate(fault);
    } else if (fault.kind == fault_kind::ReplicaCrashAtOrder) {
        record("a replica crashes beside each order for " + std::to_string(armedTime.ms) + " ms");
        m_crashAtOrderUntil = m_loop.now() + armedTime.ms;
    } else {
        record("promotions take effect late for " + std::to_string(fault.length.ms) + " ms");
        m_slowUntil = std::max(m_slowUntil, m_loop.now() + fault.length.ms);
    }
}

void fault_world::strikeInstance(const planned_fault &fault)
{
    const auto which = fault.choice % m_instances.size();
    if (fault.kind == fault_kind::InstanceFreeze) {
        freeze(which, fault.length);
    } else {
        killInstance(which);
    }
}

void fault_world::cutFromSome(const std::string &target, const planned_fault &fault)
{
    const auto one = m_databases.databases.at(target);
    // The bits of the choice select the instances; at least one of them, and not all.
    const auto all = (std::size_t{1} << m_instances.size()) - 1;
    const auto chosen = 1 + fault.choice % (all - 1);
    for (std::size_t path = 0; path < m_instances.size(); ++path) {
        if ((chosen >> path & 1) == 0) {
            continue;
        }
        record(target + " is cut off from " + m_instances.at(path).name + " for " + std::to_string(fault.length.ms)
               + " ms");
        one->setCut(path, true);
        m_loop.after(fault.length.ms, [one, path] { one->setCut(path, false); });
    }
}

void fault_world::darken(const std::string &target, duration length)
{
    record(target + " is dark for " + std::to_string(length.ms) + " ms");
    const auto one = m_databases.databases.at(target);
    const auto deafened = deafenAllBut({target});
    for (std::size_t path = 0; path < m_instances.size(); ++path) {
        one->setCut(path, true);
    }
    const auto heal = [this, one, deafened] {
        for (std::size_t path = 0; path < m_instances.size(); ++path) {
            one->setCut(path, false);
        }
        endDeafness(deafened);
    };
    m_loop.after(length.ms, heal);
}

std::vector<std::shared_ptr<review::database>> fault_world::deafenAllBut(const std::set<std::string> &targets)
{
    std::vector<std::shared_ptr<review::database>> deafened;
    for (const auto &[id, one] : m_databases.databases) {
        if (!targets.contains(id) && !one->isDeaf) {
            one->isDeaf = true;
            deafened.push_back(one);
        }
    }
    return deafened;
}

void fault_world::endDeafness(const std::vector<std::shared_ptr<review::database>> &deafened)
{
    for (const auto &one : deafened) {
        one->isDeaf = false;
    }
    m_databases.transferAll();
}

void fault_world::loseEntry(const planned_fault &fault)
{
    const auto replicas = listedReplicas();
    if (replicas.size() < 2 || !m_lostEntry.empty()) {
        return;
    }
    const auto &replica = replicas.at(fault.choice % replicas.size());
    const auto survivor = fault.choice / replicas.size() % m_instances.size();
    const auto length = std::min(shortestEntryLoss + duration{fault.length.ms / 2}, longestEntryLoss);
    record("the entry of " + replica + ", which receives, is lost for " + std::to_string(length.ms) + " ms");
    m_lostEntry = replica;
    m_store.remove("servers", replica);
    m_loop.after(killAfterEntry.ms, [this, survivor] { killInstance(survivor); });
    m_loop.after((crashAfterEntry - unheardTime).ms,
                 [this, replica, survivor, fault] { crashUnheard(replica, survivor, fault); });
    m_loop.after(length.ms, [this, replica] {
        m_lostEntry.clear();
        publishLater(replica, {});
    });
}

void fault_world::crashUnheard(const std::string &replica, std::size_t survivor, const planned_fault &fault)
{
    const auto primary = primaryId();
    if (!primary || *primary == replica) {
        return;
    }
    record("only " + replica + " receives, and " + *primary + " is cut off from " + m_instances.at(survivor).name
           + " for " + std::to_string(unheardTime.ms) + " ms");
    const auto one = m_databases.databases.at(*primary);
    const auto deafened = deafenAllBut({*primary, replica});
    one->setCut(survivor, true);
    m_loop.after(unheardTime.ms, [this, one, deafened, survivor, fault] {
        if (one->isRunning()) {
            auto longer = fault;
            longer.length = std::max(fault.length, shortestEntryCrash);
            crash(one->id(), longer);
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (i != survivor) {
                killInstance(i);
            }
        }
        one->setCut(survivor, false);
        endDeafness(deafened);
    });
}

void fault_world::crash(const std::string &target, const planned_fault &fault)
{
    const auto one = m_databases.databases.at(target);
    const bool isPrimary = one->isPrimary;
    const auto down = isPrimary ? fault.length : std::min(fault.length, longestRestart);
    record(target + (isPrimary ? " crashes, and leads, for " : " crashes for ") + std::to_string(down.ms) + " ms");
    one->kill();
    expire(target);
    const bool isRenamed = fault.choice % 2 == 0;
    m_loop.after(down.ms, [this, one, isRenamed] { startAgain(one, isRenamed); });
}

void fault_world::startAgain(const std::shared_ptr<review::database> &one, bool isRenamed)
{
    if (one->isRunning()) {
        return;
    }
    const auto id = isRenamed && !isOrdered(one->id()) ? newTargetId() : one->id();
    record(one->id() + " starts again as " + id + " with " + std::to_string(one->log.size()) + " commits");
    if (id != one->id()) {
        m_databases.startAs(one->id(), id);
    } else {
        one->start();
        m_databases.transferAll();
    }
    publishLater(id, drawn(m_options.listingDelay));
}

void fault_world::join(duration listingDelay)
{
    const auto id = newTargetId();
    record(id + " joins, and is listed after " + std::to_string(listingDelay.ms) + " ms");
    const auto *primary = m_databases.primary();
    m_databases.add(id, figures());
    m_databases.at(id).isPrimary = false;
    m_databases.at(id).term = primary != nullptr ? primary->term : m_databases.at(id).term;
    m_databases.transferAll();
    publishLater(id, listingDelay);
}

void fault_world::release(const std::string &target, const planned_fault &fault)
{
    const auto one = m_databases.databases.at(target);
    if (!m_draining.insert(target).second) {
        return;
    }
    record(target + " drains");
    publish(target);
    m_loop.after(drainTime.ms + fault.length.ms, [this, one, target] {
        m_draining.erase(target);
        if (one->id() != target) {
            record(target + " has started again as " + one->id() + ", nobody leaves");
            return;
        }
        if (!one->isRunning() || isOrdered(target)) {
            return;
        }
        const auto held = one->log;
        const auto term = one->term;
        one->kill();
        one->isPrimary = false;
        m_store.remove("servers", target);
        const auto id = newTargetId();
        record(target + " leaves; " + id + " starts at its address with " + std::to_string(held.size()) + " commits");
        one->log = held;
        one->term = term;
        m_databases.startAs(target, id);
        publishLater(id, drawn(m_options.listingDelay));
    });
}

void fault_world::freeze(std::size_t which, duration length)
{
    auto &one = m_instances.at(which);
    if (std::exchange(one.isFrozen, true)) {
        return;
    }
    record(one.name + " freezes for " + std::to_string(length.ms) + " ms");
    ::kill(one.process, SIGSTOP);
    m_loop.after(length.ms, [this, which] {
        auto &frozen = m_instances.at(which);
        record(frozen.name + " goes on");
        frozen.isFrozen = false;
        ::kill(frozen.process, SIGCONT);
    });
}

void fault_world::killInstance(std::size_t which)
{
    auto &one = m_instances.at(which);
    record(one.name + " is killed");
    ::kill(one.process, SIGKILL);
    ::waitpid(one.process, nullptr, 0);
    one.process = startProcess(one);
    if (one.isFrozen) {
        return;
    }
    // The daemon waits, as one that is started again later.
    ::kill(one.process, SIGSTOP);
    m_loop.after(restartDelay.ms, [this, which] {
        if (!m_instances.at(which).isFrozen) {
            ::kill(m_instances.at(which).process, SIGCONT);
        }
    });
}

void fault_world::turnAway(const planned_fault &fault)
{
    const auto chosen = 1 + fault.choice % ((std::size_t{1} << m_instances.size()) - 1);
    for (std::size_t path = 0; path < m_instances.size(); ++path) {
        if ((chosen >> path & 1) == 0) {
            continue;
        }
        record("the store turns " + m_instances.at(path).name + " away for " + std::to_string(fault.length.ms) + " ms");
        m_store.rejected.insert(path);
        m_loop.after(fault.length.ms, [this, path] { m_store.rejected.erase(path); });
    }
}

void fault_world::sendLate(const planned_fault &fault)
{
    m_lateUntil = std::max(m_lateUntil, m_loop.now() + fault.length.ms);
    m_lateBy = {1000 + static_cast<std::int64_t>(fault.choice) % (m_options.orderDelay.ms - 1000)};
    record("promotion calls get no answer for " + std::to_string(fault.length.ms) + " ms and are carried out after "
           + std::to_string(m_lateBy.ms) + " ms");
}

void fault_world::crashBesideOrder(const std::string &ordered)
{
    for (const auto &id : runningReplicas()) {
        if (id == ordered) {
            continue;
        }
        const auto one = m_databases.databases.at(id);
        record(id + " crashes beside the order");
        one->kill();
        expire(id);
        m_loop.after(shortCrash.ms, [this, one] { startAgain(one, false); });
        return;
    }
}

bool fault_world::handleCall(const review::promotion_service::order &order)
{
    const bool isLate = m_loop.now() < m_lateUntil;
    record(order.holder + " calls the platform: " + order.target + " is to lead, token " + std::to_string(order.token)
           + (isLate ? ", carried out late" : ""));
    const auto known = m_tokenHolders.emplace(std::pair(order.service, order.token), order.holder);
    if (known.first->second != order.holder) {
        m_check.addFinding("ONE: " + order.holder + " and " + known.first->second + " use token "
                           + std::to_string(order.token));
    }
    if (m_loop.now() < m_crashAtOrderUntil) {
        m_loop.after(crashAfterOrder.ms, [this, ordered = order.target] { crashBesideOrder(ordered); });
    }
    if (isLate) {
        m_loop.after(m_lateBy.ms, [this, order] { m_authority.carryOut(order); });
    }
    return isLate;
}

void fault_world::handlePromoted(review::database &leader)
{
    ++m_promotions;
    record(leader.id() + " leads term " + std::to_string(leader.term) + " with " + std::to_string(leader.log.size())
           + " commits");
    m_check.leads(leader.id(), requestsOf(leader));
    for (const auto &[id, one] : m_databases.databases) {
        if (one->isRunning() && !m_store.specOf("servers", id).is_null()) {
            publish(id);
        }
    }
}

bool fault_world::isOrdered(const std::string &target) const
{
    const auto found = m_orderedUntil.find(target);
    return found != m_orderedUntil.end() && m_loop.now() < found->second;
}

void fault_world::publish(const std::string &target)
{
    if (target == m_lostEntry) {
        return;
    }
    const auto &one = m_databases.at(target);
    const auto dataCentre = dataCentres.at(std::hash<std::string>()(target) % dataCentres.size());
    m_store.put("servers",
                target,
                {{"service", serviceName},
                 {"address", "at:" + target},
                 {"zone", dataCentre},
                 {"config_version", 11},
                 {"slots", 2},
                 {"state", m_draining.contains(target) ? "draining" : "ready"},
                 {"warmup_left_ms", 0},
                 {"sequence", m_loop.now()},
                 {"born", firstBorn + one.born},
                 {"db_role", one.isPrimary ? "primary" : "replica"}});
}

void fault_world::publishLater(const std::string &target, duration delay)
{
    m_loop.after(delay.ms, [this, target] {
        const auto found = m_databases.databases.find(target);
        if (found != m_databases.databases.end() && found->second->isRunning()) {
            record(target + (target == m_lostEntry ? " cannot write its entry" : " is listed"));
            publish(target);
        }
    });
}

void fault_world::expire(const std::string &target)
{
    const auto one = m_databases.databases.at(target);
    const auto after = heartbeat * 2 + drawn(heartbeat);
    m_loop.after(after.ms, [this, one, target, born = one->born] {
        const bool isBack = one->id() == target && one->isRunning();
        if (!isBack && one->born >= born) {
            record("the entry of " + target + " is removed");
            m_store.remove("servers", target);
        }
    });
}

std::vector<std::string> fault_world::runningReplicas()
{
    std::vector<std::string> replicas;
    for (const auto &[id, one] : m_databases.databases) {
        if (one->isRunning() && !one->isPrimary) {
            replicas.push_back(id);
        }
    }
    return replicas;
}

std::vector<std::string> fault_world::listedReplicas()
{
    auto replicas = runningReplicas();
    std::erase_if(replicas, [this](const auto &id) { return m_store.specOf("servers", id).is_null(); });
    return replicas;
}

std::optional<std::string> fault_world::primaryId()
{
    const auto *primary = m_databases.primary();
    return primary != nullptr ? std::optional(primary->id()) : std::nullopt;
}

std::string fault_world::newTargetId()
{
    std::ostringstream id;
    id << "i-" << std::hex << 0xaa000000 + 0x110001 * static_cast<unsigned>(++m_targetsMade);
    return id.str();
}

duration fault_world::drawn(duration most)
{
    return most.ms == 0 ? duration{} : duration{static_cast<std::int64_t>(m_random() % (most.ms + 1))};
}

}
