#pragma once

#include "dispatch.h"

#include <asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace crocusdeal
{

/** What the in-band state says of a request that may have committed a change. */
struct commit_report {
    bool isKnown = false; ///< False: the target reports no position, the outcome is unknown.
    std::optional<position> at; ///< To be confirmed; nothing if the request has written nothing.
};

/**
 * Confirms the commits of one session.
 *
 * Belongs to a session; the handler given to confirm() has to keep the session alive.
 */
class commit_confirmer
{
public:
    commit_confirmer(std::shared_ptr<const service_hooks> service, asio::any_io_executor strand);

    /** @p term is the highest of the group when the target connection was lent. */
    void onRouted(std::uint64_t term);
    /** Reads the parameter status group_state that came with the answer. */
    commit_report readState(std::string_view groupState) const;
    /** @p done runs on the session's strand. */
    void confirm(position at, std::function<void(confirm_outcome)> done);

private:
    std::shared_ptr<const service_hooks> m_service;
    asio::any_io_executor m_strand;
    std::uint64_t m_routedTerm = 0;
};

}
