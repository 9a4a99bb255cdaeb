#include "requestcheck.h"

namespace crocusdeal
{

namespace
{

constexpr const char *featureNotSupported = "0A000";

pg_error makeError(const char *message)
{
    return {"ERROR", featureNotSupported, message, {}, {}};
}

}

std::optional<pg_error> unsupportedRequestError(const batch_info &info,
                                                const request_batch &batch,
                                                bool hasRequestKey,
                                                bool hasLease)
{
    if (info.cls == statement_class::Copy) {
        return makeError("COPY is not supported through crocusdeal");
    }
    if (info.mixesProxySettings) {
        return makeError("a crocusdeal setting cannot stand beside other statements in one request");
    }
    const bool isPlainWrite =
        !hasLease && info.cls == statement_class::Write && !info.endsTransaction && batch.endsWithSync();
    if (hasRequestKey && info.cls != statement_class::Read && !isPlainWrite) {
        return makeError("crocusdeal.request_key covers one write outside of a transaction; RESET it for others");
    }
    return std::nullopt;
}

}
