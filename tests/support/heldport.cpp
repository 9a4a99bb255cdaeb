#include "heldport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Below them are the ports of review/standin, above them those that the system gives to outgoing connections. */
constexpr int firstPort = 27'000;
constexpr int portCount = 5'000;

/** The descriptor of a socket that is bound to the port alone; nothing below 0. */
int bindAlone(int type, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        return descriptor;
    }
    close(descriptor);
    return -1;
}

/** Set after the port was taken alone, for the program that is to listen at it. */
void allowListeners(int descriptor)
{
    const int on = 1;
    for (const int option : {SO_REUSEADDR, SO_REUSEPORT}) {
        if (setsockopt(descriptor, SOL_SOCKET, option, &on, sizeof on) != 0) {
            throw std::runtime_error("a held port cannot be shared");
        }
    }
}

}

held_port::held_port()
{
    constexpr int spread = 97;
    static int next = (getpid() * spread) % portCount;
    for (int tries = 0; tries < portCount && m_descriptor < 0; ++tries) {
        next = (next + 1) % portCount;
        m_number = static_cast<std::uint16_t>(firstPort + next);
        m_descriptor = isPortFree(SOCK_DGRAM, m_number) ? bindAlone(SOCK_STREAM, m_number) : -1;
    }
    if (m_descriptor < 0) {
        throw std::runtime_error("no free port");
    }
    allowListeners(m_descriptor);
}

held_port::held_port(held_port &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_number(other.m_number)
{
}

held_port::~held_port()
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

std::uint16_t held_port::number() const
{
    return m_number;
}

bool isPortFree(int type, std::uint16_t port)
{
    const int descriptor = bindAlone(type, port);
    if (descriptor >= 0) {
        close(descriptor);
    }
    return descriptor >= 0;
}

}
