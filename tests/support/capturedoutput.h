#pragma once

#include <cppunit/TestAssert.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace crocusdeal::test
{

/** Redirects the standard output of this process into a pipe for its lifetime. */
class captured_output
{
public:
    captured_output()
        : m_saved(::dup(STDOUT_FILENO))
    {
        CPPUNIT_ASSERT(::pipe(m_pipe.data()) == 0);
        ::dup2(m_pipe[1], STDOUT_FILENO);
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }

    ~captured_output()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    captured_output(const captured_output &) = delete;
    captured_output &operator=(const captured_output &) = delete;

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> chunk{};
        for (auto count = ::read(m_pipe[0], chunk.data(), chunk.size()); count > 0;
             count = ::read(m_pipe[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    int m_saved;
    std::array<int, 2> m_pipe{};
};

}
