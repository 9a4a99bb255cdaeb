#pragma once

#include "promotionwithoutstore.h"
#include "servingplan.h"
#include "targetpool.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** Asks the other instances of the whole fleet what they know of a service. */
class instance_survey : public std::enable_shared_from_this<instance_survey>
{
public:
    using answers = std::vector<std::optional<instance_knowledge>>;

    instance_survey(front_context &context, fleet_member self);

    void setMembers(const std::vector<fleet_member> &members);
    /** Calls @p done once, with one entry for each other instance; one that is silent for @p limit has no value. */
    void ask(const service_id &service, duration limit, std::function<void(const answers &)> done);

private:
    struct inquiry;

    void askMember(const std::shared_ptr<inquiry> &asked, std::size_t index, const fleet_member &member);
    void finishMember(const std::shared_ptr<inquiry> &asked,
                      std::size_t index,
                      std::optional<instance_knowledge> knowledge);
    void finish(const std::shared_ptr<inquiry> &asked);

    front_context &m_context;
    fleet_member m_self;
    std::vector<fleet_member> m_others;
};

}
