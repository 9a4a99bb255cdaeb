#include "replicationlog.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

position replication_log::last() const
{
    return m_termEnds.empty() ? position{} : m_termEnds.back();
}

void replication_log::append(log_entry_ptr entry)
{
    if (m_termEnds.empty() || m_termEnds.back().term != entry->at.term) {
        m_termEnds.push_back(entry->at);
    } else {
        m_termEnds.back() = entry->at;
    }
    m_entries.push_back(std::move(entry));
}

void replication_log::truncate(std::uint64_t lastOffset)
{
    m_entries.resize(std::min<std::size_t>(m_entries.size(), lastOffset));
    const auto kept = std::exchange(m_entries, {});
    m_termEnds.clear();
    for (const auto &entry : kept) {
        append(entry);
    }
}

std::vector<position> replication_log::termEnds() const
{
    return m_termEnds;
}

position replication_log::commonWith(const std::vector<position> &otherTermEnds) const
{
    position common;
    for (const auto other : otherTermEnds) {
        for (const auto own : m_termEnds) {
            if (own.term == other.term) {
                common = {own.term, std::min(own.offset, other.offset)};
            }
        }
    }
    return common;
}

std::vector<log_entry_ptr> replication_log::after(std::uint64_t offset, std::size_t maxEntries) const
{
    if (offset >= m_entries.size()) {
        return {};
    }
    const auto begin = m_entries.begin() + static_cast<std::ptrdiff_t>(offset);
    const auto count = std::min<std::size_t>(maxEntries, m_entries.size() - offset);
    return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

}
