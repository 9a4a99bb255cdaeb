#pragma once

#include "adminserver.h"
#include "dispatch.h"
#include "groupruntime.h"
#include "instancestatus.h"
#include "metrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** What the answers of the admin interface are made from; called on the threads of the admin server. */
struct admin_sources {
    std::function<bool()> isReady;
    std::function<instance_report()> report;
    /** Null, with the reason in @p refusal, if there is no such service. */
    std::function<std::shared_ptr<const service_hooks>(const std::string &name, pg_error &refusal)> findService;
    std::function<std::shared_ptr<group_runtime>(const group_id &)> findGroup; ///< Null if there is none.
};

/** Makes the answers of the admin interface of one instance. Thread-safe if its sources are. */
class admin_responder
{
public:
    /** @p metrics outlives the responder. */
    admin_responder(admin_sources sources, metric_registry &metrics);

    /** For the admin server, which must be stopped before the responder ends. */
    admin_hooks hooks();

private:
    admin_answer explain(const explain_request &request) const;
    admin_answer promote(const std::string &group, const std::optional<std::string> &target) const;

    admin_sources m_sources;
    metric_registry &m_metrics;
};

}
