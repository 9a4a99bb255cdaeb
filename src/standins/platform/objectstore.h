#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace platform_standin
{

/** A version and a value in JSON; version 0 stands for no object. */
struct stored_object {
    std::uint64_t version = 0;
    std::string value;
};

/** Objects by kind and name, with conditional updates and watches. Safe to use from many threads. */
class object_store
{
public:
    using interrupt_check = std::function<bool()>;

    stored_object get(const std::string &kind, const std::string &name) const;
    std::vector<std::pair<std::string, stored_object>> list(const std::string &kind) const;

    /** Stores @p value if the version is @p ifVersion. Gives the version in force and if the value was stored. */
    std::pair<bool, std::uint64_t> put(const std::string &kind,
                                       const std::string &name,
                                       std::uint64_t ifVersion,
                                       std::string value);

    /** Waits until the version is above @p after, the time is over or @p interrupted says so; gives the object then. */
    stored_object waitAbove(const std::string &kind,
                            const std::string &name,
                            std::uint64_t after,
                            std::chrono::milliseconds timeout,
                            const interrupt_check &interrupted);

    /** Makes every waiting watch ask its interrupt check. */
    void wakeWatches();

private:
    const stored_object *find(const std::string &kind, const std::string &name) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, stored_object>> m_kinds;
};

}
