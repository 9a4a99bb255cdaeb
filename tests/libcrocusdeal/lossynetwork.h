#pragma once

#include "clock.h"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** Random numbers of a simulation. */
class dice
{
public:
    explicit dice(std::uint32_t seed)
        : m_engine(seed)
    {
    }

    int between(int low, int high)
    {
        return low + static_cast<int>(m_engine() % static_cast<std::uint32_t>(high - low + 1));
    }

    bool chance(int percent)
    {
        return between(1, 100) <= percent;
    }

private:
    std::mt19937 m_engine;
};

/** Carries messages with loss, delay, duplication and reordering. */
template<typename Message>
class lossy_network
{
public:
    void send(const Message &message, time_point now, dice &random, bool faulty)
    {
        if (faulty && random.chance(20)) {
            return;
        }
        const int copies = faulty && random.chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const int delay = faulty && random.chance(20) ? random.between(10, 3000) : random.between(1, 10);
            m_messages.emplace_back(now + duration{delay}, message);
        }
    }

    /** Hands the messages that have arrived to @p take; those it returns false for stay. */
    template<typename Take>
    void deliver(time_point now, Take take)
    {
        auto messages = std::exchange(m_messages, {});
        for (auto &entry : messages) {
            if (entry.first > now || !take(entry.second)) {
                m_messages.push_back(std::move(entry));
            }
        }
    }

private:
    std::vector<std::pair<time_point, Message>> m_messages;
};

}
