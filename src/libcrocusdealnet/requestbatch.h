#pragma once

#include "pgframe.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** One message of the extended query protocol within a batch. */
struct batch_step {
    char type = 0; ///< 'P', 'B', 'D', 'E', 'C', 'S' or 'H'.
    char object = 0; ///< 'S' or 'P' for Describe and Close.
    std::string statement; ///< The statement's name for Parse, Bind, Describe and Close of a statement.
    std::string portal;
    std::string text; ///< The statement's text for Parse.
    std::size_t begin = 0; ///< Where the message stands in the batch's bytes.
    std::size_t size = 0;
};

/**
 * The messages of one request: a simple query, or extended query messages up to a Sync or a Flush.
 *
 * A batch is routed and answered as one unit.
 */
class request_batch
{
public:
    enum class progress {
        More, ///< Messages are missing.
        Complete, ///< A simple query, or a Sync came.
        Flushed, ///< A Flush came; the caller waits for answers without a ReadyForQuery.
        Malformed,
        Unsupported, ///< A message type that is not part of a query.
    };

    progress add(const pg_frame &frame);
    void clear();

    bool empty() const;
    bool isSimple() const;
    bool endsWithSync() const;
    /** The text of a simple query. */
    const std::string &text() const;
    const std::vector<batch_step> &steps() const;
    /** The bytes of one step, as received. */
    std::string_view bytes(const batch_step &step) const;
    std::string_view allBytes() const;

private:
    progress addExtended(const pg_frame &frame);

    std::string m_bytes;
    std::string m_text;
    std::vector<batch_step> m_steps;
    bool m_simple = false;
};

}
