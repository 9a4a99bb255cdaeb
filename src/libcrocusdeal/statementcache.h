#pragma once

#include "statementclassifier.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace crocusdeal
{

/** Bounds of a statement cache. */
struct statement_cache_limits {
    std::size_t entries = 32768;
    std::size_t bytes = 16777216; // 16 MB
};

/** Counts since the start. */
struct statement_cache_counts {
    std::uint64_t hits = 0;
    std::uint64_t misses = 0;
    std::size_t entries = 0;
    std::size_t bytes = 0;
};

/**
 * Remembers the classes of statement texts, the least recently used leave first.
 *
 * Texts are known by their length and their 128-bit XXH3 hash under a seed; the texts themselves are not kept. XXH3 is
 * not cryptographic: the seed has to be secret, or a caller could prepare a text that is taken for another one.
 *
 * The cache is divided into shards with one mutex each, so that worker threads seldom wait for each other. It may be
 * used from any thread without a lock of the caller. Texts are parsed outside the mutexes.
 */
class statement_cache
{
public:
    explicit statement_cache(std::uint64_t seed, statement_cache_limits limits = {});

    /** The class of @p text; parses it on the first use. */
    std::shared_ptr<const statement_info> classify(std::string_view text);

    statement_cache_counts counts() const;

private:
    struct key {
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        std::size_t length = 0;

        friend bool operator==(const key &, const key &) = default;
    };

    struct key_hash {
        std::size_t operator()(const key &k) const
        {
            return k.low;
        }
    };

    struct entry {
        key id;
        std::shared_ptr<const statement_info> info;
        std::size_t bytes = 0;
    };

    struct shard {
        mutable std::mutex mutex;
        std::list<entry> recent; ///< The most recently used entry first.
        std::unordered_map<key, std::list<entry>::iterator, key_hash> entries;
        std::uint64_t hits = 0;
        std::uint64_t misses = 0;
        std::size_t bytes = 0;
    };

    static constexpr std::size_t shardCount = 16;

    std::shared_ptr<const statement_info> find(shard &part, const key &id);
    void insert(shard &part, const key &id, std::shared_ptr<const statement_info> info);

    std::uint64_t m_seed;
    std::size_t m_maxEntries;
    std::size_t m_maxBytes;
    std::array<shard, shardCount> m_shards;
};

}
