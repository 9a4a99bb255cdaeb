#include "batchinfo.h"

#include <map>
#include <string>

namespace crocusdeal
{

namespace
{

class extended_classifier
{
public:
    extended_classifier(const statement_map &prepared, statement_cache &cache)
        : m_prepared(prepared)
        , m_cache(cache)
    {
    }

    void step(const batch_step &step)
    {
        switch (step.type) {
        case 'P':
            m_parsed[step.statement] = m_cache.classify(step.text);
            m_lastParsed = m_parsed[step.statement];
            break;
        case 'B':
            m_portals[step.portal] = lookUp(step.statement);
            break;
        case 'E':
            execute(step.portal);
            break;
        default:
            break;
        }
    }

    batch_info take(bool endsWithSync)
    {
        if (!m_executed && m_lastParsed) {
            prepareOnly(endsWithSync);
        }
        m_info.onlyProxySettings = m_settings > 0 && m_others == 0;
        m_info.mixesProxySettings = m_settings > 0 && m_others > 0;
        return m_info;
    }

private:
    std::shared_ptr<const statement_info> lookUp(const std::string &name)
    {
        if (const auto found = m_parsed.find(name); found != m_parsed.end()) {
            return found->second;
        }
        const auto *statement = m_prepared.find(name);
        return statement == nullptr ? nullptr : m_cache.classify(statement->text);
    }

    void execute(const std::string &portal)
    {
        m_executed = true;
        const auto found = m_portals.find(portal);
        if (found == m_portals.end() || !found->second) {
            // A portal of an earlier batch: nothing is known of it here, so it counts as a write.
            m_info.cls = std::max(m_info.cls, statement_class::Write);
            ++m_others;
            return;
        }
        const auto &statement = found->second;
        ++(statement->cls == statement_class::ProxySetting ? m_settings : m_others);
        m_info.endsTransaction = m_info.endsTransaction || statement->endsTransaction;
        m_info.discardsState = statement->discardsState;
        if (!m_info.statement || statement->cls >= m_info.cls) {
            m_info.statement = statement;
            m_info.fingerprint = statement->fingerprint;
        }
        const bool second = m_settings + m_others > 1;
        const bool control = statement->cls == statement_class::Begin
            || statement->cls == statement_class::BeginReadOnly || statement->cls == statement_class::Commit
            || statement->cls == statement_class::Rollback;
        m_hasControl = m_hasControl || control;
        m_info.cls = std::max(m_info.cls, statement->cls);
        if (second && m_hasControl) {
            m_info.cls = std::max(m_info.cls, statement_class::Write);
        }
    }

    /**
     * Planning alone needs a target that knows the tables, nothing more. After a Flush the statement is likely to be
     * executed on the same connection.
     */
    void prepareOnly(bool endsWithSync)
    {
        m_info.statement = m_lastParsed;
        m_info.fingerprint = m_lastParsed->fingerprint;
        const auto cls = m_lastParsed->cls;
        m_info.cls = !endsWithSync || cls == statement_class::Invalid || cls == statement_class::Copy
                || cls == statement_class::ProxySetting
            ? cls
            : statement_class::Read;
        ++(cls == statement_class::ProxySetting ? m_settings : m_others);
    }

    const statement_map &m_prepared;
    statement_cache &m_cache;
    std::map<std::string, std::shared_ptr<const statement_info>> m_parsed;
    std::map<std::string, std::shared_ptr<const statement_info>> m_portals;
    std::shared_ptr<const statement_info> m_lastParsed;
    batch_info m_info;
    int m_settings = 0;
    int m_others = 0;
    bool m_executed = false;
    bool m_hasControl = false;
};

batch_info classifySimple(const request_batch &batch, statement_cache &cache)
{
    batch_info info;
    info.statement = cache.classify(batch.text());
    info.cls = info.statement->cls;
    info.fingerprint = info.statement->fingerprint;
    info.endsTransaction = info.statement->endsTransaction;
    info.discardsState = info.statement->discardsState;
    const bool hasSettings = !info.statement->settings.empty();
    info.onlyProxySettings = info.cls == statement_class::ProxySetting;
    info.mixesProxySettings = hasSettings && !info.onlyProxySettings;
    return info;
}

}

batch_info classifyBatch(const request_batch &batch, const statement_map &prepared, statement_cache &cache)
{
    if (batch.isSimple()) {
        return classifySimple(batch, cache);
    }
    extended_classifier classifier(prepared, cache);
    for (const auto &step : batch.steps()) {
        classifier.step(step);
    }
    return classifier.take(batch.endsWithSync());
}

}
