#include "statementcache.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// List node, hash node, bucket and the control block of the shared pointer, besides the information itself.
constexpr std::size_t entryOverheadBytes = 192;
// A larger entry (a SET with a long value) would displace many others and is parsed each time.
constexpr std::size_t maxEntryBytes = 4096;

std::size_t sizeOf(const statement_info &info)
{
    auto bytes = sizeof(statement_info) + entryOverheadBytes;
    for (const auto &table : info.tables) {
        bytes += sizeof(std::string) + table.capacity();
    }
    for (const auto &setting : info.settings) {
        bytes += sizeof(proxy_setting) + setting.name.capacity() + setting.value.capacity();
    }
    return bytes;
}

}

statement_cache::statement_cache(std::uint64_t seed, statement_cache_limits limits)
    : m_seed(seed)
    , m_maxEntries(std::max<std::size_t>(limits.entries / shardCount, 1))
    , m_maxBytes(limits.bytes / shardCount)
{
}

std::shared_ptr<const statement_info> statement_cache::classify(std::string_view text)
{
    const auto hash = XXH3_128bits_withSeed(text.data(), text.size(), m_seed);
    const key id{hash.low64, hash.high64, text.size()};
    auto &part = m_shards[hash.high64 % shardCount];
    if (auto info = find(part, id)) {
        return info;
    }
    auto info = std::make_shared<const statement_info>(classifyStatement(text));
    insert(part, id, info);
    return info;
}

std::shared_ptr<const statement_info> statement_cache::find(shard &part, const key &id)
{
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(id);
    if (found == part.entries.end()) {
        ++part.misses;
        return nullptr;
    }
    ++part.hits;
    part.recent.splice(part.recent.begin(), part.recent, found->second);
    return found->second->info;
}

void statement_cache::insert(shard &part, const key &id, std::shared_ptr<const statement_info> info)
{
    const auto bytes = sizeOf(*info);
    if (bytes > std::min(maxEntryBytes, m_maxBytes)) {
        return;
    }
    const std::lock_guard lock(part.mutex);
    if (part.entries.contains(id)) {
        return; // Another thread parsed the same text meanwhile.
    }
    while (!part.recent.empty() && (part.recent.size() >= m_maxEntries || part.bytes + bytes > m_maxBytes)) {
        part.bytes -= part.recent.back().bytes;
        part.entries.erase(part.recent.back().id);
        part.recent.pop_back();
    }
    part.recent.push_front({id, std::move(info), bytes});
    part.entries.emplace(id, part.recent.begin());
    part.bytes += bytes;
}

statement_cache_counts statement_cache::counts() const
{
    statement_cache_counts sum;
    for (const auto &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        sum.hits += part.hits;
        sum.misses += part.misses;
        sum.entries += part.recent.size();
        sum.bytes += part.bytes;
    }
    return sum;
}

}
