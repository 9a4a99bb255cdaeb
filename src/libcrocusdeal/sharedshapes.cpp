#include "sharedshapes.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// A third of the time that the owner remembers a shape, so that two lost reports do not make it forget.
constexpr duration refreshInterval{20000};
// A report without an answer is repeated after many round trips; permits do not wait for it.
constexpr duration retryInterval{500};

}

shape_ledger::shape_ledger(std::uint64_t ledger, shape_ledger_settings settings)
    : m_ledger(ledger)
    , m_settings(settings)
{
}

void shape_ledger::forgetOld(time_point now)
{
    std::erase_if(m_shapes, [&](const auto &entry) {
        const bool isOld = now - entry.second.reportedAt >= m_settings.keptFor;
        if (isOld) {
            m_byVersion.erase(entry.second.version);
        }
        return isOld;
    });
}

void shape_ledger::take(const shared_shape &shape, time_point now)
{
    const auto found = m_shapes.find(shape.fingerprint);
    if (found != m_shapes.end() && found->second.isLong == shape.isLong) {
        found->second.expected = shape.expected;
        found->second.reportedAt = now;
        return;
    }
    if (found != m_shapes.end() && shape.isLong) {
        return;
    }
    if (found != m_shapes.end()) {
        m_byVersion.erase(found->second.version);
        m_shapes.erase(found);
    }
    if (m_shapes.size() >= m_settings.maxShapes) {
        const auto oldest = std::min_element(m_shapes.begin(), m_shapes.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second.reportedAt, a.second.version) < std::pair(b.second.reportedAt, b.second.version);
        });
        m_byVersion.erase(oldest->second.version);
        m_shapes.erase(oldest);
    }
    m_shapes.emplace(shape.fingerprint, known_shape{shape.expected, shape.isLong, ++m_version, now});
    m_byVersion.emplace(m_version, shape.fingerprint);
}

shape_update shape_ledger::onReport(const shape_report &report, time_point now)
{
    forgetOld(now);
    const auto count = std::min(report.shapes.size(), maxShapesPerMessage);
    for (std::size_t i = 0; i < count; ++i) {
        take(report.shapes[i], now);
    }
    shape_update update;
    update.target = report.target;
    update.holder = report.holder;
    update.ledger = m_ledger;
    update.answers = report.sequence;
    update.version = m_version;
    const auto seen = report.ledger == m_ledger ? report.seen : 0;
    for (auto next = m_byVersion.upper_bound(seen); next != m_byVersion.end(); ++next) {
        const auto &known = m_shapes.at(next->second);
        update.shapes.push_back({next->second, known.expected, known.isLong});
        if (update.shapes.size() == maxShapesPerMessage) {
            update.version = next->first;
            break;
        }
    }
    return update;
}

shape_reporter::shape_reporter(target_id target, instance_id self)
    : m_target(std::move(target))
    , m_self(std::move(self))
{
}

void shape_reporter::setOwner(const instance_id &owner)
{
    if (owner == m_owner) {
        return;
    }
    m_owner = owner;
    m_ledger = 0;
    m_seen = 0;
    m_sent.clear();
    m_reportedAt.clear();
    m_answered = m_sequence;
}

void shape_reporter::setMeasured(std::vector<shared_shape> shapes)
{
    m_measured = std::move(shapes);
    if (m_reportedAt.size() > m_measured.size()) {
        std::erase_if(m_reportedAt, [&](const auto &reported) {
            return std::none_of(m_measured.begin(), m_measured.end(), [&](const shared_shape &shape) {
                return std::pair(shape.fingerprint, shape.isLong) == reported.first;
            });
        });
    }
}

std::vector<shared_shape> shape_reporter::due(time_point now) const
{
    std::vector<shared_shape> shapes;
    for (const auto &shape : m_measured) {
        const auto reported = m_reportedAt.find({shape.fingerprint, shape.isLong});
        if (reported != m_reportedAt.end() && now - reported->second < refreshInterval) {
            continue;
        }
        shapes.push_back(shape);
        if (shapes.size() == maxShapesPerMessage) {
            break;
        }
    }
    return shapes;
}

std::vector<shape_report> shape_reporter::poll(bool piggybacked, time_point now)
{
    const bool isOpen = m_answered < m_sequence && now - m_sentAt < retryInterval;
    if (m_owner.empty() || isOpen) {
        return {};
    }
    auto shapes = due(now);
    if (shapes.empty() && !piggybacked) {
        return {};
    }
    m_sent = shapes;
    m_sentAt = now;
    ++m_sequence;
    return {shape_report{m_target, m_self, m_sequence, m_ledger, m_seen, std::move(shapes)}};
}

std::vector<shared_shape> shape_reporter::onUpdate(const shape_update &update)
{
    if (update.holder != m_self || update.answers != m_sequence || m_answered == m_sequence) {
        return {};
    }
    m_answered = m_sequence;
    if (update.ledger != m_ledger) {
        // The owner took over anew and has forgotten what was reported before.
        m_reportedAt.clear();
    }
    m_ledger = update.ledger;
    m_seen = update.version;
    for (const auto &shape : m_sent) {
        m_reportedAt[{shape.fingerprint, shape.isLong}] = m_sentAt;
    }
    return update.shapes;
}

}
