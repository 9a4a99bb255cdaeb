#pragma once

#include "pgframe.h"
#include "requestbatch.h"
#include "statementclassifier.h"
#include "statementmap.h"

#include <functional>
#include <string>

namespace crocusdeal
{

/** The outcome of one setting statement; @p value is what SHOW returns. */
struct setting_result {
    bool ok = false;
    std::string value;
    std::string error; ///< Why not, when not ok.
};

using setting_handler = std::function<setting_result(const proxy_setting &)>;

/** Answers a batch that holds settings of the proxy only, without its ReadyForQuery. */
void writeSettingReplies(frame_writer &writer,
                         const request_batch &batch,
                         const statement_map &prepared,
                         const setting_handler &handler);

}
