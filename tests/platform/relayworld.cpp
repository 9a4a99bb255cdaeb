#include "relayworld.h"

#include "servingplan.h"

#include <algorithm>
#include <stdexcept>

namespace crocusdeal::test
{

relay_world::relay_world(int count, int connections, std::optional<duration> keyRevocationTime)
{
    for (auto &[service, policy] : world.configuration.services) {
        policy.maxConnections = connections;
    }
    world.store.setConfiguration(world.configuration);
    world.settings.keyRevocationTime = keyRevocationTime;
    for (int i = 1; i <= count; ++i) {
        start("front-" + std::to_string(i));
    }
    awaitReady();
}

void relay_world::start(const std::string &front)
{
    auto settings = world.settings;
    settings.instance = instance_id(front);
    settings.callerAddress = world.holdAddress();
    settings.readinessAddress = world.holdAddress();
    settings.relayAddress = world.holdAddress();
    auto &view = stores[front];
    view = std::make_unique<store_view>(world.store, world.deadlines);
    const auto node = std::make_shared<crocusdeal::front>(world.context, settings, *view, world.store);
    if (const auto problem = node->start(); !problem.empty()) {
        throw std::runtime_error(problem);
    }
    fronts.emplace(front, node);
    m_settings.emplace(front, settings);
}

void relay_world::awaitReady()
{
    world.runUntil([this] {
        return std::all_of(fronts.begin(), fronts.end(), [](const auto &entry) { return entry.second->isReady(); });
    });
    // The members are listed half a second after the start; then the links are opened.
    world.runFor(duration{1200});
}

relay_world::~relay_world()
{
    for (const auto &[name, node] : fronts) {
        node->close();
    }
}

std::unique_ptr<line_client> relay_world::connect(const std::string &front,
                                                  const std::string &database,
                                                  const std::string &key)
{
    auto client = std::make_unique<line_client>(world.io, m_settings.at(front).callerAddress);
    client->startUp(database, key);
    world.runUntil([&] { return client->hasAnswer() || client->isClosed(); });
    if (client->hasAnswer()) {
        client->takeAnswer();
    }
    return client;
}

std::string relay_world::ask(line_client &client, const std::string &text)
{
    client.send("QUERY r" + std::to_string(m_nextId++) + " " + text);
    if (!world.runUntil([&] { return client.hasAnswer() || client.isClosed(); })) {
        return "no answer";
    }
    return client.hasAnswer() ? client.takeAnswer() : "closed";
}

void relay_world::kill(const std::string &front)
{
    fronts.at(front)->close();
    fronts.erase(front);
}

std::string relay_world::serving() const
{
    std::vector<instance_id> members;
    for (const auto &[name, node] : fronts) {
        members.emplace_back(name);
    }
    return relayOrder(service_id("svc"), members, 1, instance_id("nobody")).front().str();
}

std::vector<std::string> relay_world::relays() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : fronts) {
        if (name != serving()) {
            names.push_back(name);
        }
    }
    return names;
}

store_view &relay_world::storeOf(const std::string &front)
{
    return *stores.at(front);
}

const front_settings &relay_world::settingsOf(const std::string &front) const
{
    return m_settings.at(front);
}

}
