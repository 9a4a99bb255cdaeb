#pragma once

#include <cstdint>

namespace crocusdeal
{

/**
 * A TCP port on 127.0.0.1 that no other test draws while this object lives. A program that sets SO_REUSEADDR or
 * SO_REUSEPORT can listen at it.
 */
class held_port
{
public:
    /** Takes a free one; throws std::runtime_error if there is none. */
    held_port();
    ~held_port();
    held_port(held_port &&other) noexcept;
    held_port(const held_port &) = delete;
    held_port &operator=(const held_port &) = delete;

    std::uint16_t number() const;

private:
    int m_descriptor = -1;
    std::uint16_t m_number = 0;
};

/** Whether a socket of this type, such as SOCK_DGRAM, could be bound to the port alone. */
bool isPortFree(int type, std::uint16_t port);

}
