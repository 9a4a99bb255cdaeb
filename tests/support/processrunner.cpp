#include "processrunner.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

using steady_clock = std::chrono::steady_clock;

[[noreturn]] void fail(int error, const std::string &what)
{
    throw std::system_error(error, std::generic_category(), what);
}

}

spawn_attributes::spawn_attributes()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    posix_spawnattr_init(&m_attributes);
    posix_spawnattr_setsigdefault(&m_attributes, &signals);
    posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGDEF);
}

spawn_attributes::~spawn_attributes()
{
    posix_spawnattr_destroy(&m_attributes);
}

child_process::child_process(const std::string &program,
                             const std::vector<std::string> &arguments,
                             const std::string &errorFile)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        fail(errno, "pipe2");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (!errorFile.empty()) {
        constexpr mode_t mode = 0644;
        posix_spawn_file_actions_addopen(
            &actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    }
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, spawn_attributes().get(), argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    m_output = ends[0];
    if (error != 0) {
        close(m_output);
        fail(error, program);
    }
}

child_process::~child_process()
{
    if (!m_status) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    close(m_output);
}

pid_t child_process::pid() const
{
    return m_pid;
}

std::optional<std::string> child_process::readLine(std::chrono::milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    for (;;) {
        if (const auto end = m_buffer.find('\n'); end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            return line;
        }
        const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now()).count();
        pollfd ready{m_output, POLLIN, 0};
        if (rest <= 0 || poll(&ready, 1, static_cast<int>(rest)) <= 0) {
            return std::nullopt;
        }
        char bytes[1024];
        const auto count = read(m_output, bytes, sizeof bytes);
        if (count <= 0) {
            return std::nullopt;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

void child_process::signal(int number) const
{
    if (!m_status) {
        kill(m_pid, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    while (!m_status) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            constexpr int signalBase = 128;
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
        } else if (steady_clock::now() >= deadline) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return m_status;
}

std::uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool ok = bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    const int error = errno;
    close(descriptor);
    if (!ok) {
        fail(error, "freePort");
    }
    return ntohs(address.sin_port);
}

}
