#include "cases.h"

#include "world.h"

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review
{

namespace
{

constexpr int manySeeds = 3000;

/** Writes of one item after the other. */
std::function<std::string()> writesOf(const std::string &name)
{
    return [name, count = 0]() mutable {
        ++count;
        return "WRITE " + name + std::to_string(count) + " d" + std::to_string(count);
    };
}

/** Records each change of the primary, and counts acknowledged commits that are not in the new primary's log. */
void watchPromotions(world &all, int &promotions, int &lost)
{
    all.databases.onPromoted = [&all, &promotions, &lost](database &leader) {
        ++promotions;
        int missing = 0;
        for (const auto &id : all.acknowledged) {
            missing += leader.holds(id) ? 0 : 1;
        }
        all.record(leader.id() + " leads term " + std::to_string(leader.term) + " with "
                   + std::to_string(leader.log.size())
                   + " commits; acknowledged commits that it lacks: " + std::to_string(missing));
        lost += missing;
        for (const auto &[id, one] : all.databases.databases) {
            if (one->isRunning()) {
                all.publish(id, false);
            }
        }
    };
}

/** Records each call of the promotion duty. */
void recordCalls(world &all)
{
    all.duty.onCall = [&all](const promotion_service::order &order) {
        all.record(order.holder + " calls the platform: " + order.target + " is to lead, token "
                   + std::to_string(order.token));
        return false;
    };
}

/** Three databases, two daemons, and a client at each that writes without end. */
void beginWithTwoDaemons(world &all)
{
    all.addDatabase("i-aaaa0001", "sapporo-a", {});
    all.addDatabase("i-bbbb0002", "ebetsu-b", {});
    all.addDatabase("i-cccc0003", "chitose-c", {});
    all.startFront("sapporo-a");
    all.startFront("ebetsu-b");
    recordCalls(all);
    all.warmUp();
    for (std::size_t front = 0; front < all.fronts.size(); ++front) {
        const auto writer = all.addClient(front, "orders");
        writer->next = writesOf("w" + std::to_string(front) + "x");
        writer->pauseMs = 50;
        writer->start();
    }
    all.events.runUntil(all.events.now() + 2000);
}

int judge(world &all, int lost, bool hasRun)
{
    all.record("acknowledged commits lost: " + std::to_string(lost) + " of " + std::to_string(all.acknowledged.size()));
    return !hasRun || all.acknowledged.empty() ? couldNotRun : lost > 0 ? broken : held;
}

/** The primary and one replica crash together; both are back 2.5 s later, the primary with its log. */
int primaryAndReplicaCrash(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t downMs = 2500;
    constexpr std::int64_t endMs = 9000;
    world all(recordFile, 2);
    int promotions = 0;
    int lost = 0;
    watchPromotions(all, promotions, lost);
    beginWithTwoDaemons(all);
    const auto begin = all.events.now();
    if (hasTrouble) {
        all.crash("i-aaaa0001");
        all.crash("i-bbbb0002");
        all.events.after(downMs, [&all] {
            all.startAgain("i-aaaa0001", "i-aaaa0011");
            all.startAgain("i-bbbb0002", "i-bbbb0012");
        });
    }
    all.events.runUntil(begin + endMs);
    return judge(all, lost, true);
}

/** One replica receives nothing; the other one and the primary crash, and the primary comes back after 7 s. */
int crashBesideADeafReplica(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t deafMs = 6500;
    constexpr std::int64_t crashAfterMs = 3500;
    constexpr std::int64_t replicaDownMs = 1000;
    constexpr std::int64_t primaryDownMs = 7000;
    constexpr std::int64_t endMs = 14000;
    world all(recordFile, 2);
    int promotions = 0;
    int lost = 0;
    watchPromotions(all, promotions, lost);
    beginWithTwoDaemons(all);
    const auto begin = all.events.now();
    if (hasTrouble) {
        all.record("i-cccc0003 receives nothing from now on");
        all.databases.at("i-cccc0003").isDeaf = true;
        all.events.after(deafMs, [&all] {
            all.record("i-cccc0003 receives again");
            all.databases.at("i-cccc0003").isDeaf = false;
            all.databases.transferAll();
        });
        all.events.after(crashAfterMs, [&all] {
            all.crash("i-bbbb0002");
            all.crash("i-aaaa0001");
        });
        all.events.after(crashAfterMs + replicaDownMs, [&all] { all.startAgain("i-bbbb0002", "i-bbbb0012"); });
        all.events.after(crashAfterMs + primaryDownMs, [&all] { all.startAgain("i-aaaa0001", "i-aaaa0011"); });
    }
    all.events.runUntil(begin + endMs);
    return judge(all, lost, true);
}

/**
 * A primary is drained. The platform's promotion call is cut off for three seconds; the replica that was chosen
 * crashes 200 ms after the first call, and is back half a second later with an empty log that it receives anew.
 */
int drainWithARestartedChoice(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t outageMs = 3000;
    constexpr std::int64_t crashAfterMs = 200;
    constexpr std::int64_t downMs = 500;
    constexpr std::int64_t endMs = 12000;
    world all(recordFile, 2);
    all.addDatabase("i-aaaa0001", "sapporo-a", {});
    all.addDatabase("i-bbbb0002", "ebetsu-b", {});
    all.addDatabase("i-cccc0003", "chitose-c", {});
    for (int i = 0; i < manySeeds; ++i) {
        all.databases.seed("seed" + std::to_string(i), "s" + std::to_string(i), "d");
    }
    all.startFront("sapporo-a");
    all.startFront("ebetsu-b");
    int promotions = 0;
    int lost = 0;
    watchPromotions(all, promotions, lost);
    all.warmUp();
    for (int i = 0; i < 4; ++i) {
        const auto writer = all.addClient(static_cast<std::size_t>(i) % 2, "orders");
        writer->next = writesOf("w" + std::to_string(i) + "x");
        writer->pauseMs = 20;
        writer->start();
    }
    all.events.runUntil(all.events.now() + 2000);
    const auto drainedAt = all.events.now();
    std::string chosen;
    all.duty.onCall = [&](const promotion_service::order &order) {
        const bool isCutOff = hasTrouble && all.events.now() < drainedAt + outageMs;
        all.record(order.holder + " calls the platform: " + order.target + " is to lead, token "
                   + std::to_string(order.token) + (isCutOff ? ", no answer" : "") + "; it holds "
                   + std::to_string(all.databases.at(order.target).log.size()) + " commits");
        if (isCutOff && chosen.empty()) {
            chosen = order.target;
            all.events.after(crashAfterMs, [&all, chosen] {
                all.record(chosen + " crashes");
                all.databases.at(chosen).kill();
            });
            all.events.after(crashAfterMs + downMs, [&all, chosen] {
                all.record(chosen + " has started again and holds nothing of before");
                all.databases.at(chosen).start();
                all.publish(chosen, false);
            });
        }
        return isCutOff;
    };
    all.record("i-aaaa0001 reports that it drains");
    all.publish("i-aaaa0001", true);
    all.events.runUntil(drainedAt + endMs);
    all.record("changes of the primary: " + std::to_string(promotions) + ", acknowledged commits lost: "
               + std::to_string(lost) + " of " + std::to_string(all.acknowledged.size()));
    const bool hasRun = promotions > 0 && !all.acknowledged.empty() && (!hasTrouble || !chosen.empty());
    return !hasRun ? couldNotRun : lost > 0 ? broken : held;
}

/**
 * The store turns one of three daemons away, the one that holds the promotion lease. A replica is replaced: the new one
 * joins. Then the primary is partitioned from that daemon only, and goes on serving the others.
 */
int promotionWithoutTheStore(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t awayMs = 9000;
    constexpr std::int64_t cutMs = 5000;
    constexpr std::int64_t endMs = 10000;
    world all(recordFile, 3);
    all.addDatabase("i-aaaa0001", "sapporo-a", {});
    all.addDatabase("i-bbbb0002", "ebetsu-b", {});
    all.addDatabase("i-cccc0003", "chitose-c", {});
    all.startFront("sapporo-a");
    all.startFront("ebetsu-b");
    all.startFront("chitose-c");
    int promotions = 0;
    int lost = 0;
    watchPromotions(all, promotions, lost);
    recordCalls(all);
    all.warmUp();
    for (std::size_t front = 0; front < all.fronts.size(); ++front) {
        const auto writer = all.addClient(front, "orders");
        writer->next = writesOf("w" + std::to_string(front) + "x");
        writer->pauseMs = 600;
        writer->start();
        all.events.runUntil(all.events.now() + 200);
    }
    // A lease is claimed in advance within ten seconds.
    std::string holder;
    for (int i = 0; i < 60 && holder.empty(); ++i) {
        all.events.runUntil(all.events.now() + 200);
        const auto lease = all.store.specOf("crocusdeal-promotions", all.databases.service);
        holder = lease.is_object() ? lease.value("holder", std::string()) : std::string();
    }
    if (holder.empty()) {
        return couldNotRun;
    }
    const auto away = static_cast<std::size_t>(holder.back() - '1');
    const auto begin = all.events.now();
    all.record("the store " + std::string(hasTrouble ? "turns away " : "serves ") + holder);
    if (hasTrouble) {
        all.store.rejected.insert(away);
        all.events.after(awayMs, [&all] { all.store.rejected.clear(); });
    }
    all.events.runUntil(begin + 1000);
    all.record("i-cccc0003 is to be replaced: i-dddd0004 joins");
    all.addDatabase("i-dddd0004", "chitose-c", {});
    all.events.runUntil(begin + 2000);
    all.record("i-cccc0003 reports that it drains");
    all.publish("i-cccc0003", true);
    all.events.runUntil(begin + 3000);
    if (hasTrouble) {
        all.record("i-aaaa0001, the primary, is partitioned from " + holder);
        all.databases.at("i-aaaa0001").setCut(away, true);
        all.events.after(cutMs, [&all, away] {
            all.record("the partition has ended");
            all.databases.at("i-aaaa0001").setCut(away, false);
        });
    }
    all.events.runUntil(begin + endMs);
    all.record("changes of the primary: " + std::to_string(promotions) + ", acknowledged commits lost: "
               + std::to_string(lost) + " of " + std::to_string(all.acknowledged.size()));
    return all.acknowledged.empty() ? couldNotRun : lost > 0 ? broken : held;
}

/** A daemon gets SIGTERM while sessions send one statement after the other. */
int stopUnderBusySessions(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t graceMs = 6000;
    constexpr std::int64_t earlyMs = 3000; // Requests sent until then may be cut while a database is at work.
    world all(recordFile, 2);
    database_figures figures;
    figures.workMs = 30;
    figures.slots = 4;
    all.addDatabase("i-aaaa0001", "sapporo-a", figures);
    all.addDatabase("i-bbbb0002", "ebetsu-b", figures);
    all.addDatabase("i-cccc0003", "chitose-c", figures);
    all.startFront("sapporo-a");
    all.startFront("ebetsu-b");
    all.warmUp();
    std::int64_t stoppedAt = 0;
    int answered = 0;
    int cut = 0;
    for (int i = 0; i < 12; ++i) {
        const auto one = all.addClient(0, "orders");
        one->next = writesOf("w" + std::to_string(i) + "x");
        one->reconnects = false;
        one->onResult = [&, told = one->onResult](const client::result &result) {
            told(result);
            const bool isAnswered = result.answer.find("READY ") != std::string::npos;
            answered += isAnswered ? 1 : 0;
            const bool isLate = stoppedAt != 0 && result.sentAt > stoppedAt + earlyMs;
            if (!isAnswered && isLate && all.databases.arrived.contains(result.id)) {
                ++cut;
                all.record(result.id + " was sent " + std::to_string(result.sentAt - stoppedAt)
                           + " ms after SIGTERM, passed on to a database, and is not answered");
            }
        };
        one->start();
    }
    all.events.runUntil(all.events.now() + 2000);
    if (answered == 0) {
        return couldNotRun;
    }
    const auto begin = all.events.now();
    if (hasTrouble) {
        stoppedAt = begin;
        all.record("SIGTERM to the first daemon");
        ::kill(all.fronts.front(), SIGTERM);
    }
    for (auto at = begin; at < begin + graceMs; at += 100) {
        all.events.runUntil(at + 100);
        if (!all.isFrontRunning(0)) {
            all.record("the first daemon has ended " + std::to_string(all.events.now() - begin) + " ms after SIGTERM");
            break;
        }
    }
    if (hasTrouble && all.isFrontRunning(0)) {
        ::kill(all.fronts.front(), SIGKILL);
    }
    all.events.runUntil(all.events.now() + 500);
    all.record("answered: " + std::to_string(answered) + ", cut: " + std::to_string(cut));
    return cut > 0 ? broken : held;
}

/**
 * The primary crashes for two seconds. The call that names its successor gets no answer and is carried out 3.2 s later;
 * the other replica crashes and is back, without its pause, before the primary is.
 */
int lateOrderAndRestart(const std::string &recordFile, bool hasTrouble)
{
    constexpr std::int64_t primaryDownMs = 2000;
    constexpr std::int64_t lateMs = 3200;
    constexpr std::int64_t crashAfterMs = 300;
    constexpr std::int64_t downMs = 500;
    constexpr std::int64_t endMs = 14000;
    world all(recordFile, 2);
    int promotions = 0;
    int lost = 0;
    watchPromotions(all, promotions, lost);
    beginWithTwoDaemons(all);
    const auto begin = all.events.now();
    std::string other;
    all.duty.onCall = [&](const promotion_service::order &order) {
        all.record(order.holder + " calls the platform: " + order.target + " is to lead, token "
                   + std::to_string(order.token) + (other.empty() ? ", carried out late" : ""));
        if (!other.empty()) {
            return false;
        }
        other = order.target == "i-bbbb0002" ? "i-cccc0003" : "i-bbbb0002";
        all.events.after(lateMs, [&all, order] { all.duty.carryOut(order); });
        all.events.after(crashAfterMs, [&all, &other] {
            all.record(other + " crashes");
            all.databases.at(other).kill();
        });
        all.events.after(crashAfterMs + downMs, [&all, &other] {
            all.record(other + " has started again");
            all.databases.at(other).start();
            all.publish(other, false);
        });
        return true;
    };
    if (hasTrouble) {
        all.record("i-aaaa0001 crashes");
        all.databases.at("i-aaaa0001").kill();
        all.events.after(primaryDownMs, [&all] {
            all.record("i-aaaa0001 is back with its log");
            all.databases.at("i-aaaa0001").start();
            all.databases.transferAll();
        });
    }
    all.events.runUntil(begin + endMs);
    return judge(all, lost, true);
}

/** A client sends one message whose data has a line feed, which does not end a line; a line ends with CR LF. */
int smuggledStatement(const std::string &recordFile, bool hasTrouble)
{
    world all(recordFile, 2);
    all.addDatabase("i-aaaa0001", "sapporo-a", {});
    all.addDatabase("i-bbbb0002", "ebetsu-b", {});
    all.addDatabase("i-cccc0003", "chitose-c", {});
    all.startFront("sapporo-a");
    all.startFront("ebetsu-b");
    all.warmUp();
    const std::string smuggled = hasTrouble ? "\nQUERY 5c0e7a21d94b36f8 WRITE balance-7 0" : "";
    std::map<std::string, std::string> sent;
    const auto one = all.addClient(0, "orders");
    one->next = [&, count = 0]() mutable {
        ++count;
        auto text = "WRITE note-" + std::to_string(count) + " data" + (count == 3 ? smuggled : "");
        sent["c1n" + std::to_string(count)] = text;
        return text;
    };
    one->pauseMs = 100;
    one->start();
    all.events.runUntil(all.events.now() + 3000);
    int foreign = 0;
    for (const auto &[id, text] : all.databases.ran) {
        const bool isSent = sent.contains(id) && sent.at(id) == text;
        foreign += isSent ? 0 : 1;
        if (!isSent) {
            std::string line = "a database has run ";
            line.append(id).append(" with the text \"").append(text).append("\", which no client has sent");
            all.record(line);
        }
    }
    all.record("statements that databases ran: " + std::to_string(all.databases.ran.size())
               + ", of them sent by no client or changed: " + std::to_string(foreign));
    return all.databases.ran.empty() ? couldNotRun : foreign > 0 ? broken : held;
}

}

int runCase(const std::string &name, const std::string &recordFile, bool hasTrouble)
{
    const std::map<std::string, std::function<int(const std::string &, bool)>> cases{
        {"primary-and-replica", primaryAndReplicaCrash},
        {"deaf-replica", crashBesideADeafReplica},
        {"restarted-choice", drainWithARestartedChoice},
        {"late-order", lateOrderAndRestart},
        {"without-the-store", promotionWithoutTheStore},
        {"smuggled", smuggledStatement},
        {"busy-sessions", stopUnderBusySessions},
    };
    const auto found = cases.find(name);
    return found == cases.end() ? couldNotRun : found->second(recordFile, hasTrouble);
}

}
