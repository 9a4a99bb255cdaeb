#include "crashreport.h"

#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstring>

#include <execinfo.h>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

constexpr int maxFrames = 48;
constexpr std::size_t signalStackBytes = 65536; // A stack that has overflowed cannot be used.
constexpr std::size_t lineBytes = 2048;
constexpr unsigned bitsPerDigit = 4;
constexpr std::uintptr_t digitMask = 0xF;

/** A line of text that is put together without memory of the heap. */
class signal_line
{
public:
    void add(const char *text)
    {
        const auto length = std::strlen(text);
        for (std::size_t i = 0; i < length; ++i) {
            addCharacter(text[i]);
        }
    }

    void addAddress(std::uintptr_t value)
    {
        constexpr const char *digits = "0123456789abcdef";
        bool isBegun = false;
        for (unsigned shift = sizeof(value) * 2 * bitsPerDigit; shift > 0; shift -= bitsPerDigit) {
            const auto digit = (value >> (shift - bitsPerDigit)) & digitMask;
            isBegun = isBegun || digit != 0;
            if (isBegun) {
                addCharacter(digits[digit]);
            }
        }
    }

    void write()
    {
        addCharacter('\n');
        // Nothing can be done about an output that takes no more.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, m_text.data(), m_length);
    }

private:
    void addCharacter(char c)
    {
        if (m_length < m_text.size()) {
            m_text[m_length++] = c;
        }
    }

    std::array<char, lineBytes> m_text{};
    std::size_t m_length = 0;
};

void writeReport(int signal)
{
    std::array<void *, maxFrames> frames{};
    const int count = ::backtrace(frames.data(), maxFrames);
    signal_line line;
    line.add("level=error event=crashed signal=0x");
    line.addAddress(static_cast<std::uintptr_t>(signal));
    line.add(" frames=");
    for (int i = 0; i < count; ++i) {
        line.add(i == 0 ? "0x" : ",0x");
        line.addAddress(reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]));
    }
    line.write();
    // The handler was set for one signal only, so that this ends the process as it would have without it.
    std::raise(signal);
}

}

void reportCrashes()
{
    static std::array<char, signalStackBytes> stack;
    stack_t other{};
    other.ss_sp = stack.data();
    other.ss_size = stack.size();
    ::sigaltstack(&other, nullptr);
    // The first call loads a library, which a handler must not do.
    std::array<void *, 1> first{};
    ::backtrace(first.data(), static_cast<int>(first.size()));
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
        struct sigaction action {
        };
        action.sa_handler = writeReport;
        action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
        ::sigaction(signal, &action, nullptr);
    }
}

}
