#pragma once

#include "requestbatch.h"
#include "statementcache.h"
#include "statementmap.h"

#include <cstdint>
#include <memory>

namespace crocusdeal
{

/** What a whole batch needs. */
struct batch_info {
    statement_class cls = statement_class::Empty;
    std::uint64_t fingerprint = 0;
    bool endsTransaction = false;
    bool discardsState = false;
    bool onlyProxySettings = false; ///< Nothing in it concerns a target.
    bool mixesProxySettings = false; ///< A setting of the proxy beside other statements; refused.
    std::shared_ptr<const statement_info> statement; ///< The strongest one; null for an empty batch.
};

/** Classifies @p batch; statements of earlier batches are looked up in @p prepared. */
batch_info classifyBatch(const request_batch &batch, const statement_map &prepared, statement_cache &cache);

}
