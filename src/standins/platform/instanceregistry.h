#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace platform_standin
{

/** The platform's list of instances, which may be shown as it was some time ago. */
class instance_registry
{
public:
    using clock = std::chrono::steady_clock;

    /** Adds or replaces an entry, a JSON text. */
    void put(const std::string &id, std::string entry, clock::time_point now);
    /** Removes an entry; false if there is none. */
    bool remove(const std::string &id, clock::time_point now);
    /** The entries as of @p now less @p lag. */
    std::vector<std::string> list(clock::time_point now, std::chrono::milliseconds lag);

private:
    struct change {
        clock::time_point at;
        std::string id;
        std::optional<std::string> entry;
    };

    void record(const std::string &id, std::optional<std::string> entry, clock::time_point now);
    static void apply(std::map<std::string, std::string> &entries, const change &change);

    std::mutex m_mutex;
    std::map<std::string, std::string> m_current;
    std::map<std::string, std::string> m_shown;
    std::deque<change> m_notShown;
};

}
