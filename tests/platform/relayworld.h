#pragma once

#include "frontworld.h"
#include "storeview.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal::test
{

/** Further fronts beside that of a front_world, in the same data centre and before the same databases. */
class relay_world
{
public:
    /** Starts @p count fronts; the databases accept @p connections, which is too few for all of them. */
    relay_world(int count, int connections, std::optional<duration> keyRevocationTime = std::nullopt);
    ~relay_world();
    relay_world(const relay_world &) = delete;
    relay_world &operator=(const relay_world &) = delete;

    /** Starts a further front; awaitReady() waits for it. */
    void start(const std::string &front);
    void awaitReady();
    /** A caller of the front with this name. */
    std::unique_ptr<line_client> connect(const std::string &front,
                                         const std::string &database,
                                         const std::string &key = "tester");
    std::string ask(line_client &client, const std::string &text);
    /** Ends the front without a farewell, as a killed process does. */
    void kill(const std::string &front);
    /** The front that serves the service for the others. */
    std::string serving() const;
    std::vector<std::string> relays() const;
    const front_settings &settingsOf(const std::string &front) const;
    /** The store as this front reaches it. */
    store_view &storeOf(const std::string &front);

    std::map<std::string, std::unique_ptr<store_view>> stores; ///< Outlive the calls that the world's loop ends.
    front_world world;
    std::map<std::string, std::shared_ptr<front>> fronts;

private:
    std::map<std::string, front_settings> m_settings;
    int m_nextId = 1;
};

}
