#pragma once

#include "pgframe.h"

#include <map>
#include <memory>
#include <string>

namespace crocusdeal
{

using session_parameters = std::map<std::string, std::string>;

/** What the protocol classes need of the connection that owns them. All functions are called on its strand. */
class session_host
{
public:
    virtual ~session_host() = default;

    /** Keeps the connection alive while an operation is under way. */
    virtual std::shared_ptr<session_host> hold() = 0;
    virtual frame_writer &out() = 0;
    /** True if the next message received is a Sync. */
    virtual bool isSyncNext() const = 0;
    /** Goes on with the next message after an operation that did not end at once. */
    virtual void resume() = 0;
    virtual void closeNow() = 0;
    /** Keeps the connection open and answers nothing any more. */
    virtual void silence() = 0;
};

}
