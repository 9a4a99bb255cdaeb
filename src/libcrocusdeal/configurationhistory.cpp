#include "configurationhistory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Peers that took versions in other steps usually share one of the last few. */
constexpr std::size_t maxHeldTexts = 4;
constexpr std::size_t maxChanges = 64;
constexpr std::size_t maxChangeBytes = 262'144;

}

text_change makeTextChange(std::uint64_t fromVersion,
                           const std::string &from,
                           std::uint64_t toVersion,
                           const std::string &to)
{
    const auto limit = std::min(from.size(), to.size());
    const auto prefix = static_cast<std::size_t>(
        std::mismatch(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(limit), to.begin()).first
        - from.begin());
    std::size_t suffix = 0;
    while (suffix < limit - prefix && from[from.size() - 1 - suffix] == to[to.size() - 1 - suffix]) {
        ++suffix;
    }
    return {fromVersion,
            toVersion,
            static_cast<std::uint32_t>(prefix),
            static_cast<std::uint32_t>(suffix),
            to.substr(prefix, to.size() - prefix - suffix)};
}

std::optional<std::string> applyTextChange(const std::string &from, const text_change &change)
{
    if (std::size_t{change.prefix} + change.suffix > from.size()) {
        return std::nullopt;
    }
    return from.substr(0, change.prefix) + change.middle + from.substr(from.size() - change.suffix);
}

std::uint64_t textHash(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

void configuration_history::accept(std::uint64_t version, std::string text)
{
    if (m_text) {
        m_changes.push_back(makeTextChange(m_version, *m_text, version, text));
        m_changeBytes += m_changes.back().middle.size();
        trimChanges();
    }
    m_version = version;
    m_hash = textHash(text);
    m_text = std::make_shared<const std::string>(std::move(text));
    m_held.push_front({version, m_text});
    if (m_held.size() > maxHeldTexts) {
        m_held.pop_back();
    }
}

void configuration_history::trimChanges()
{
    while (!m_changes.empty() && (m_changes.size() > maxChanges || m_changeBytes > maxChangeBytes)) {
        m_changeBytes -= m_changes.front().middle.size();
        m_changes.pop_front();
    }
}

std::vector<std::uint64_t> configuration_history::heldVersions() const
{
    std::vector<std::uint64_t> versions;
    versions.reserve(m_held.size());
    for (const auto &one : m_held) {
        versions.push_back(one.version);
    }
    return versions;
}

std::shared_ptr<const std::string> configuration_history::heldText(std::uint64_t version) const
{
    const auto found =
        std::find_if(m_held.begin(), m_held.end(), [version](const held &one) { return one.version == version; });
    return found == m_held.end() ? nullptr : found->text;
}

std::optional<std::vector<text_change>> configuration_history::changesSince(std::uint64_t version) const
{
    const auto first = std::find_if(m_changes.begin(), m_changes.end(), [version](const text_change &change) {
        return change.fromVersion == version;
    });
    if (first == m_changes.end()) {
        return std::nullopt;
    }
    return std::vector<text_change>(first, m_changes.end());
}

}
