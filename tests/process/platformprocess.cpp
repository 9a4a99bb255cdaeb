#include "platformprocess.h"

#include "processrunner.h"

#include <cppunit/TestAssert.h>
#include <httplib.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace crocusdeal
{

namespace
{

/** Pipes for a child's output and errors; not inherited by children that other threads start. */
struct child_pipes {
    child_pipes()
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(output.data(), O_CLOEXEC));
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(errors.data(), O_CLOEXEC));
    }
    ~child_pipes()
    {
        ::close(output[0]);
        ::close(errors[0]);
    }
    child_pipes(const child_pipes &) = delete;
    child_pipes &operator=(const child_pipes &) = delete;

    std::array<int, 2> output{};
    std::array<int, 2> errors{};
};

pid_t spawn(const std::string &program, std::vector<std::string> arguments, const child_pipes &pipes, bool takesErrors)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipes.output[1], STDOUT_FILENO);
    if (takesErrors) {
        posix_spawn_file_actions_adddup2(&actions, pipes.errors[1], STDERR_FILENO);
    }
    std::string path = std::string(CROCUSDEAL_BINARY_DIR) + '/' + program;
    std::vector<char *> pointers{path.data()};
    pointers.reserve(arguments.size() + 2);
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    pid_t process = 0;
    const int error =
        ::posix_spawn(&process, path.c_str(), &actions, spawn_attributes().get(), pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipes.output[1]);
    ::close(pipes.errors[1]);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 0, error);
    return process;
}

std::string readAll(int file)
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = ::read(file, buffer.data(), buffer.size())) > 0;) {
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

host_port readAddress(int output)
{
    const std::string prefix = "listening on ";
    std::string line;
    char next = 0;
    while (::read(output, &next, 1) == 1 && next != '\n') {
        line += next;
    }
    CPPUNIT_ASSERT_MESSAGE(line, line.rfind(prefix, 0) == 0);
    return parseHostPort(line.substr(prefix.size())).value();
}

}

program_result runProgram(const std::string &program, std::vector<std::string> arguments)
{
    const child_pipes pipes;
    const auto process = spawn(program, std::move(arguments), pipes, true);
    program_result result;
    result.output = readAll(pipes.output[0]);
    result.errors = readAll(pipes.errors[0]);
    int status = 0;
    ::waitpid(process, &status, 0);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

platform_process::platform_process(std::vector<std::string> options)
{
    const child_pipes pipes;
    options.insert(options.begin(), {"--listen", "127.0.0.1:0"});
    m_process = spawn("src/standins/platformstandin", std::move(options), pipes, false);
    m_address = readAddress(pipes.output[0]);
}

platform_process::~platform_process()
{
    ::kill(m_process, SIGTERM);
    ::waitpid(m_process, nullptr, 0);
}

const host_port &platform_process::address() const
{
    return m_address;
}

void platform_process::setFaults(const std::string &json) const
{
    httplib::Client client(m_address.host, m_address.port);
    const auto result = client.Put("/admin/faults", json, "application/json");
    CPPUNIT_ASSERT(result && result->status == 200);
}

void platform_process::putInstance(const std::string &id, const std::string &json) const
{
    httplib::Client client(m_address.host, m_address.port);
    const auto result = client.Put("/v1/instances/" + id, json, "application/json");
    CPPUNIT_ASSERT(result && result->status == 200);
}

std::string platform_process::counters() const
{
    httplib::Client client(m_address.host, m_address.port);
    const auto result = client.Get("/admin/counters");
    CPPUNIT_ASSERT(result);
    return result->body;
}

}
