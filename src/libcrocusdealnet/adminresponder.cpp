#include "adminresponder.h"

#include "partlog.h"
#include "sessionstate.h"
#include "systemclock.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration promoteLimit{15000};

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;

}

admin_responder::admin_responder(admin_sources sources, metric_registry &metrics)
    : m_sources(std::move(sources))
    , m_metrics(metrics)
{
}

admin_hooks admin_responder::hooks()
{
    admin_hooks hooks;
    hooks.ready = m_sources.isReady;
    hooks.status = [this] { return toJson(m_sources.report(), systemNow()); };
    hooks.metrics = [this] {
        updateGauges(m_metrics, m_sources.report(), systemNow());
        return m_metrics.render();
    };
    hooks.explain = [this](const explain_request &request) { return explain(request); };
    hooks.promote = [this](const std::string &group, const std::optional<std::string> &target) {
        return promote(group, target);
    };
    hooks.setLogLevel = [](const std::string &level) {
        const auto value = logLevelNames.value(level);
        if (value) {
            setLogLevel(*value);
        }
        return value.has_value();
    };
    return hooks;
}

admin_answer admin_responder::promote(const std::string &group, const std::optional<std::string> &target) const
{
    const auto found = m_sources.findGroup(group_id(group));
    if (!found) {
        return {notFound, nlohmann::json{{"error", "group \"" + group + "\" does not exist"}}.dump()};
    }
    const auto answer = std::make_shared<std::promise<promotion_result>>();
    auto result = answer->get_future();
    found->monitor().promote(target ? std::optional(target_id(*target)) : std::nullopt,
                             [answer](const promotion_result &ended) { answer->set_value(ended); });
    if (result.wait_for(std::chrono::milliseconds(promoteLimit.ms)) != std::future_status::ready) {
        return {conflict, nlohmann::json{{"error", "the promotion did not end in time; see the status"}}.dump()};
    }
    const auto ended = result.get();
    const bool promoted = ended.outcome == promotion_outcome::Promoted;
    nlohmann::json body{{"outcome", std::string(promotionOutcomeNames.name(ended.outcome))}, {"term", ended.term}};
    body["primary"] = ended.primary.str();
    return {promoted ? 200 : conflict, body.dump()};
}

admin_answer admin_responder::explain(const explain_request &request) const
{
    pg_error refusal;
    const auto service = m_sources.findService(request.service, refusal);
    if (!service) {
        return {notFound, nlohmann::json{{"error", refusal.message}}.dump()};
    }
    const auto info = classifyStatement(request.statement);
    std::optional<position> token;
    if (!request.session.empty()) {
        const auto parsed = parseSessionToken(request.session);
        if (!parsed) {
            return {badRequest, nlohmann::json{{"error", "the session must be a token, group:term/offset"}}.dump()};
        }
        const auto found = parsed->find(service->group);
        if (found != parsed->end()) {
            token = found->second;
        }
    }
    dispatch_request question;
    question.cls = info.cls;
    question.fingerprint = info.fingerprint;
    question.token = token;
    question.historyKnown = token.has_value();
    question.sessionStart = systemNow();
    question.maxStaleness = service->allowedStaleness(info);
    if (question.maxStaleness && question.maxStaleness->ms == 0) {
        question.maxStaleness.reset();
    }
    question.deadline = systemNow() + service->queueDeadline();
    const auto decision = service->explain(question);
    nlohmann::json body{{"class", std::string(statementClassNames.name(info.cls))},
                        {"decision", std::string(routeKindNames.name(decision.kind))},
                        {"reason", std::string(routeReasonNames.name(decision.reason))},
                        {"target", decision.target.str()},
                        {"tables", info.tables}};
    return {200, body.dump()};
}

}
