#include "modelworld.h"

#include "sessionstate.h"

#include <algorithm>

namespace crocusdeal::model
{

namespace
{

const group_id theGroup("g");
constexpr std::int64_t statementTimeout = 100;

}

struct client::operation {
    instance *through = nullptr;
    session_state session{time_point{}};
    route_class kind = route_class::Read;
    std::optional<duration> maxAge;
    time_point deadline;
    int value = 0;
};

client::client(world &owner)
    : m_world(owner)
{
}

void client::next()
{
    m_world.after(m_world.random(0, 12), [this] {
        auto current = std::make_shared<operation>();
        current->through = &m_world.randomInstance();
        if (current->through->pausedUntil() > m_world.now()) {
            next();
            return;
        }
        const auto now = current->through->clock();
        current->session = session_state(now);
        if (m_token && m_world.chance(50)) {
            const auto text = toString(session_token{{theGroup, *m_token}});
            current->session.merge(*parseSessionToken(text));
        }
        current->deadline = now + duration{200};
        const auto pick = m_world.random(0, 99);
        current->kind = pick < 45 ? route_class::Write : pick < 75 ? route_class::Read : route_class::StaleRead;
        if (current->kind == route_class::StaleRead) {
            current->maxAge = duration{m_world.random(20, 200)};
        }
        route(current);
    });
}

void client::finish()
{
    next();
}

void client::route(const std::shared_ptr<operation> &current)
{
    auto &through = *current->through;
    const auto late = through.pausedUntil() - m_world.now();
    if (late > 0) {
        m_world.after(late, [this, current] { route(current); });
        return;
    }
    const auto now = through.clock();
    route_request request;
    request.kind = current->kind;
    request.token = current->session.tokenFor(theGroup);
    request.startedAt = current->session.startedAt();
    request.maxAge = current->maxAge;
    request.deadline = current->deadline;
    load_table load;
    for (std::size_t i = 0; i < m_world.databaseCount(); ++i) {
        load[targetName(i)] = {0, duration{m_world.random(0, 5)}};
    }
    const auto chosen = router(m_world.options().router).decide(request, *through.view(), load, now);
    switch (chosen.kind) {
    case route_kind::Refuse:
        finish();
        return;
    case route_kind::Park:
    case route_kind::WaitForReplica:
        m_world.after(5, [this, current] { route(current); });
        return;
    case route_kind::ReadIndexFirst:
        through.readIndex(chosen.indexFrom, [this, current](std::optional<position> at) {
            if (at) {
                current->session.advance(theGroup, *at);
            }
            m_world.after(at ? 0 : 5, [this, current] { route(current); });
        });
        return;
    case route_kind::ToPrimary:
    case route_kind::ToReplica:
        break;
    }
    if (current->kind == route_class::Write) {
        write(current, targetIndex(chosen.target));
    } else {
        read(current, targetIndex(chosen.target));
    }
}

void client::write(const std::shared_ptr<operation> &current, std::size_t target)
{
    const auto askedAt = current->through->clock();
    current->value = m_world.nextValue();
    const auto action = [value = current->value](database &primary, reply &answer) {
        answer.granted = primary.role == target_role::Primary;
        if (answer.granted) {
            primary.log.push_back({primary.term, value});
        }
    };
    m_world.call(
        *current->through, target, action, statementTimeout, [this, current, target, askedAt](const reply *answer) {
            if (answer == nullptr || !answer->granted) {
                finish();
                return;
            }
            const auto at = answer->status.at;
            current->through->observeInBand(target, *answer, askedAt);
            current->through->confirm(at, [this, current, at](bool confirmed) {
                if (confirmed) {
                    m_world.acknowledged(current->value, at.term);
                    m_written.push_back(current->value);
                    m_token = std::max(m_token.value_or(at), at);
                } else {
                    ++m_world.result().unknown;
                }
                finish();
            });
        });
}

void client::read(const std::shared_ptr<operation> &current, std::size_t target)
{
    const auto decidedAt = m_world.now();
    const auto askedAt = current->through->clock();
    m_world.call(
        *current->through,
        target,
        [](database &source, reply &answer) { answer.log = source.log; },
        statementTimeout,
        [this, current, target, decidedAt, askedAt](const reply *answer) {
            if (answer == nullptr) {
                finish();
                return;
            }
            current->through->observeInBand(target, *answer, askedAt);
            auto &result = m_world.result();
            ++(current->maxAge ? result.staleReads : result.reads);
            const auto missing = std::any_of(m_written.begin(), m_written.end(), [answer](int value) {
                return std::none_of(
                    answer->log.begin(), answer->log.end(), [value](const entry &item) { return item.value == value; });
            });
            if (missing) {
                m_world.report(violation::MissedOwnWrite);
            }
            if (current->maxAge) {
                m_world.checkAge(answer->log, decidedAt, current->maxAge->ms);
            }
            finish();
        });
}

}
