#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>

namespace crocusdeal
{

class caller_session;

/** The open sessions of this instance, for cancel requests and for the shutdown. Thread-safe. */
class session_registry
{
public:
    explicit session_registry(std::uint64_t seed);

    struct ticket {
        std::int32_t pid = 0;
        std::int32_t key = 0;
    };

    /** A number for a new session; its secret key lets its caller cancel. */
    ticket add(const std::shared_ptr<caller_session> &session);
    void remove(std::int32_t pid);
    /** Does nothing if the key is wrong, as PostgreSQL does. */
    void cancel(std::int32_t pid, std::int32_t key);
    std::size_t size() const;
    void forEach(const std::function<void(caller_session &)> &visit);

private:
    struct entry {
        std::int32_t key = 0;
        std::weak_ptr<caller_session> session;
    };

    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::int32_t m_lastPid = 0;
    std::unordered_map<std::int32_t, entry> m_sessions;
};

}
