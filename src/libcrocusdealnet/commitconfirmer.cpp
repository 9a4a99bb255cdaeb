#include "commitconfirmer.h"

#include "targetstate.h"

#include <asio/dispatch.hpp>

#include <utility>

namespace crocusdeal
{

commit_confirmer::commit_confirmer(std::shared_ptr<const service_hooks> service, asio::any_io_executor strand)
    : m_service(std::move(service))
    , m_strand(std::move(strand))
{
}

void commit_confirmer::onRouted(std::uint64_t term)
{
    m_routedTerm = term;
}

commit_report commit_confirmer::readState(std::string_view groupState) const
{
    const auto state = parseTargetState(groupState);
    if (!state) {
        return {};
    }
    // Without an entry of the term in which it was routed the request has written nothing: there is nothing to confirm.
    if (isUnwrittenPrimary(*state) && state->term == m_routedTerm) {
        return {true, std::nullopt};
    }
    return {true, state->at};
}

void commit_confirmer::confirm(position at, std::function<void(confirm_outcome)> done)
{
    m_service->confirmWrite(at, [strand = m_strand, done = std::move(done)](confirm_outcome outcome) {
        asio::dispatch(strand, [done, outcome] { done(outcome); });
    });
}

}
