#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace crocusdeal
{

/**
 * Stands for the access key of a caller, so that no key stays in memory and none can get into a log or a message.
 *
 * It is a hash of the key under a secret of this process, and means nothing to any other process.
 */
class access_key_digest
{
public:
    static constexpr std::size_t size = 32; ///< Bytes.

    /** Nothing if the library cannot compute it. */
    static std::optional<access_key_digest> of(std::string_view key);

    /** Takes the same time wherever the two differ. */
    friend bool operator==(const access_key_digest &a, const access_key_digest &b);
    /** Orders digests, so that they can be found; the order tells nothing of the keys. */
    friend bool operator<(const access_key_digest &a, const access_key_digest &b);

private:
    std::array<std::uint8_t, size> m_bytes{};
};

}
