#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A promotion command that may still take effect. */
struct open_order {
    std::optional<target_id> target; ///< Nothing if another process has sent it, and did not tell for whom.
    std::uint64_t token = 0; ///< 0 if another process has sent it.
    time_point sentAt = never;
    bool isAccepted = false; ///< It is carried out, or may be; its target leads some time later.
    bool isRecorded = false; ///< The record of the lease names its target.
};

/**
 * The promotion commands for one service that may still take effect.
 *
 * An accepted command is carried out, but its target leads later, and no time bounds how much later. So a command ends
 * only by what was seen: it was refused, its target leads, or its target is gone for good.
 */
class open_orders
{
public:
    void sent(const open_order &order);
    /** Another process may have sent one; for one of @p targets, unless they are not known. */
    void leftOpen(const std::optional<std::vector<target_id>> &targets = std::nullopt);
    /** The platform carries it out, and refuses every older one that it has not carried out by now, as by a fence. */
    void accepted(std::uint64_t token);
    /** It has not been carried out and will not be. */
    void refused(std::uint64_t token);
    /**
     * A newer command that changes nothing was accepted: what has not been carried out by now never will be. What has
     * been still takes effect, so one whose target is known stays open.
     */
    void fenced();
    /** The target was seen to lead, by a question of @p askedAt. Returns whether that has ended a command. */
    bool targetLeads(const target_id &target, time_point askedAt);
    /**
     * Ends the commands whose target is gone for good, as @p isGone tells. One that has started again may lead as what
     * it is now: its entry does not tell whether it has done so since the command.
     */
    bool endGone(const std::function<bool(const target_id &)> &isGone);
    /** Another process has claimed the lease, and answers for what its record tells. */
    void handOver();

    bool isEmpty() const;
    /** A target that a command names. */
    std::optional<target_id> target() const;
    /** Whether one may be carried out that has not been. */
    bool isFenceOfUse() const;
    /** The targets that are known; nothing if there are commands, and none of their targets is known. */
    std::optional<std::vector<target_id>> targets() const;
    /** For the log. */
    std::string describe() const;

private:
    /** Adds what another process has left, once. */
    void add(const open_order &left);

    std::vector<open_order> m_orders;
};

}
