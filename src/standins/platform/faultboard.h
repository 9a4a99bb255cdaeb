#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace platform_standin
{

/** The faults that the stand-in shows, set at run time. */
struct fault_settings {
    bool outage = false; ///< Every call is answered with 503.
    std::chrono::milliseconds delay{0}; ///< Before each call takes effect.
    int dropAnswersAfterEffect = 0; ///< So many updates take effect but lose their answers.
    std::chrono::milliseconds instanceListLag{0};
    std::set<std::string> cut; ///< Instances whose calls are lost.
};

/** Holds the faults; safe to use from many threads. */
class fault_board
{
public:
    /** Sets the faults named in @p json and keeps the others; gives the reason if the text is not understood. */
    std::optional<std::string> update(const std::string &json);

    fault_settings current() const;
    bool isCut(const std::string &instance) const;
    bool isOutage() const;
    /** True if the answer to an update that took effect is to be lost. */
    bool takeDroppedAnswer();

private:
    mutable std::mutex m_mutex;
    fault_settings m_faults;
};

}
