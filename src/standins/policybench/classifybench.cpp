#include "classifybench.h"

#include "statementcache.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace crocusdeal
{

namespace
{

using bench_clock = std::chrono::steady_clock;

/** Microseconds per call of @p work. */
double timed(int calls, const std::function<void(int)> &work)
{
    const auto start = bench_clock::now();
    for (int i = 0; i < calls; ++i) {
        work(i);
    }
    return std::chrono::duration<double, std::micro>(bench_clock::now() - start).count() / calls;
}

std::string longInsert(std::size_t bytes)
{
    std::string text = "insert into t values (1, 'abc')";
    while (text.size() + 11 < bytes) {
        text += ",(1, 'abc')";
    }
    return text;
}

double timedHitsOnThreads(statement_cache &cache, const std::string &text, int threadCount)
{
    constexpr int calls = 500000;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    const auto start = bench_clock::now();
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&cache, &text, t] {
            for (int i = 0; i < calls; ++i) {
                cache.classify(text + std::to_string((i + t) % 100));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return std::chrono::duration<double, std::micro>(bench_clock::now() - start).count() / calls;
}

}

void runClassifyBench()
{
    const std::string query = "select o.id, o.total, sum(i.price) from orders o join items i on i.order_id = o.id "
                              "where o.customer = $1 and o.created > now() group by o.id limit 20";
    const std::vector<std::pair<const char *, std::string>> texts{
        {"select 1", "select 1"},
        {"insert, 1 row", "insert into orders (customer, total) values ($1, $2) returning id"},
        {"join of 2 tables", query},
        {"insert of 4 kB", longInsert(4096)},
        {"insert of 16 kB", longInsert(maxParsedTextBytes)},
        {"insert of 1 MB, not parsed", longInsert(1048576)},
    };
    std::printf("%-28s %12s %12s\n", "statement", "parse us", "hit us");
    for (const auto &sample : texts) {
        const auto &text = sample.second;
        statement_cache cache(1);
        const int calls = text.size() < 1000 ? 5000 : 50;
        const double parse = timed(calls, [&](int) { classifyStatement(text); });
        cache.classify(text);
        const double hit = timed(calls, [&](int) { cache.classify(text); });
        std::printf("%-28s %12.2f %12.3f\n", sample.first, parse, hit);
    }
    statement_cache cache(1);
    for (int threads : {1, 2, 4}) {
        std::printf("100 texts of %zu bytes, %d threads: %.3f us per hit\n",
                    query.size(),
                    threads,
                    timedHitsOnThreads(cache, query, threads));
    }
}

}
