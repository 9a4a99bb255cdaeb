#include "accesskey.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace crocusdeal
{

namespace
{

/** The secret of this process; nothing if the library has no random numbers. */
const std::optional<std::array<std::uint8_t, access_key_digest::size>> &processSecret()
{
    static const auto secret = [] {
        std::optional<std::array<std::uint8_t, access_key_digest::size>> bytes(std::in_place);
        return RAND_bytes(bytes->data(), static_cast<int>(bytes->size())) == 1 ? bytes : std::nullopt;
    }();
    return secret;
}

}

std::optional<access_key_digest> access_key_digest::of(std::string_view key)
{
    const auto &secret = processSecret();
    if (!secret) {
        return std::nullopt;
    }
    access_key_digest digest;
    const auto *text = reinterpret_cast<const std::uint8_t *>(key.data());
    const auto *hash = HMAC(EVP_sha256(),
                            secret->data(),
                            static_cast<int>(secret->size()),
                            text,
                            key.size(),
                            digest.m_bytes.data(),
                            nullptr);
    return hash == nullptr ? std::nullopt : std::optional(digest);
}

bool operator==(const access_key_digest &a, const access_key_digest &b)
{
    return CRYPTO_memcmp(a.m_bytes.data(), b.m_bytes.data(), access_key_digest::size) == 0;
}

bool operator<(const access_key_digest &a, const access_key_digest &b)
{
    return a.m_bytes < b.m_bytes;
}

}
