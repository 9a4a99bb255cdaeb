#pragma once

#include "databasegroup.h"
#include "promotion.h"

#include <functional>
#include <string>

namespace crocusdeal
{

enum class group_log_level {
    Debug,
    Info,
    Warning,
};

struct promotion_result {
    promotion_outcome outcome = promotion_outcome::NoMajority;
    std::uint64_t term = 0;
    target_id primary; ///< May differ from the one asked for; empty unless promoted.
};

/** Carries out one promotion at a time: sends its orders, logs them and reports the end. */
class promotion_runner
{
public:
    using callback = std::function<void(const promotion_result &)>;

    struct hooks {
        std::function<void(const order_target &)> give;
        std::function<void(const target_id &)> askStatus;
        std::function<void(bool promoting)> setPromoting;
        std::function<void(group_log_level, const std::string &)> log;
        std::function<void(std::uint64_t term, const target_id &primary)> onHint;
    };

    explicit promotion_runner(hooks callbacks);

    bool isRunning() const;

    /** After a failure no new promotion is to start before this time, apart from planned ones. */
    time_point retryAt() const;

    void start(const database_group &group,
               std::optional<target_id> planned,
               const std::string &why,
               callback done,
               time_point now);
    void answered(const order_answer &answer, time_point now);
    void observed(const target_id &target, const target_status &status, time_point now);
    void tick(time_point now);

    /** Gives up without further orders; the callback hears of no majority. */
    void abandon();

private:
    void run(const promotion_actions &actions, time_point now);
    void logRestart(std::uint64_t term);
    std::string describe(const order_target &order) const;
    void finish(const promotion_ended &ended, time_point now);

    hooks m_hooks;
    std::optional<promotion> m_promotion;
    std::uint64_t m_term = 0; ///< Of the last "fence all" in the log.
    duration m_retryDelay{};
    time_point m_retryAt = never;
    callback m_done;
};

}
