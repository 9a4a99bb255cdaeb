#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Replacement of the middle of a text: what two versions share at both ends is not repeated. */
struct text_change {
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::uint32_t prefix = 0; ///< Bytes kept at the start.
    std::uint32_t suffix = 0; ///< Bytes kept at the end.
    std::string middle;
};

text_change makeTextChange(std::uint64_t fromVersion,
                           const std::string &from,
                           std::uint64_t toVersion,
                           const std::string &to);
/** The changed text; nothing if @p change does not fit @p from. */
std::optional<std::string> applyTextChange(const std::string &from, const text_change &change);
std::uint64_t textHash(const std::string &text);

/**
 * The configuration in force, a few earlier texts, and the changes that led to it.
 *
 * At 16,000 changes a day of a value up to a megabyte, full transfers would cost each instance 185 KB/s against a limit
 * of 9 KB/s. A change mostly touches one service, so peers exchange changes, and the full text only without a common
 * version.
 */
class configuration_history
{
public:
    /** Takes over a newer version. */
    void accept(std::uint64_t version, std::string text);

    std::uint64_t version() const
    {
        return m_version;
    }
    std::uint64_t hash() const
    {
        return m_hash;
    }
    /** Null before the first version. */
    const std::shared_ptr<const std::string> &text() const
    {
        return m_text;
    }

    /** Versions whose text is still held, the newest first. */
    std::vector<std::uint64_t> heldVersions() const;
    std::shared_ptr<const std::string> heldText(std::uint64_t version) const;
    /** The changes from @p version to the one in force; nothing if they are no longer held. */
    std::optional<std::vector<text_change>> changesSince(std::uint64_t version) const;

private:
    struct held {
        std::uint64_t version;
        std::shared_ptr<const std::string> text;
    };

    void trimChanges();

    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::shared_ptr<const std::string> m_text;
    std::deque<held> m_held; ///< Newest first.
    std::deque<text_change> m_changes; ///< Oldest first, each from the version that the one before led to.
    std::size_t m_changeBytes = 0;
};

}
