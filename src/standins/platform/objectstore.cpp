#include "objectstore.h"

namespace platform_standin
{

const stored_object *object_store::find(const std::string &kind, const std::string &name) const
{
    const auto ofKind = m_kinds.find(kind);
    if (ofKind == m_kinds.end()) {
        return nullptr;
    }
    const auto found = ofKind->second.find(name);
    return found == ofKind->second.end() ? nullptr : &found->second;
}

stored_object object_store::get(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto *object = find(kind, name);
    return object == nullptr ? stored_object{} : *object;
}

std::vector<std::pair<std::string, stored_object>> object_store::list(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    const auto ofKind = m_kinds.find(kind);
    if (ofKind == m_kinds.end()) {
        return {};
    }
    return {ofKind->second.begin(), ofKind->second.end()};
}

std::pair<bool, std::uint64_t> object_store::put(const std::string &kind,
                                                 const std::string &name,
                                                 std::uint64_t ifVersion,
                                                 std::string value)
{
    const std::lock_guard lock(m_mutex);
    const auto *current = find(kind, name);
    const auto version = current == nullptr ? 0 : current->version;
    if (version != ifVersion) {
        return {false, version};
    }
    m_kinds[kind][name] = {version + 1, std::move(value)};
    m_changed.notify_all();
    return {true, version + 1};
}

stored_object object_store::waitAbove(const std::string &kind,
                                      const std::string &name,
                                      std::uint64_t after,
                                      std::chrono::milliseconds timeout,
                                      const interrupt_check &interrupted)
{
    std::unique_lock lock(m_mutex);
    stored_object seen;
    m_changed.wait_for(lock, timeout, [&] {
        const auto *object = find(kind, name);
        seen = object == nullptr ? stored_object{} : *object;
        return seen.version > after || interrupted();
    });
    return seen;
}

void object_store::wakeWatches()
{
    const std::lock_guard lock(m_mutex);
    m_changed.notify_all();
}

}
