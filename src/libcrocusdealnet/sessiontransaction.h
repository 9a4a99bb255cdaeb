#pragma once

#include "batchinfo.h"
#include "request.h"

namespace crocusdeal
{

/** The transaction and the connection state of one session, as its target connection reported it last. */
class session_transaction
{
public:
    /** What the next request may change on a primary or another target. */
    request_scope scopeOf(const batch_info &info, bool isPrimary) const;
    /** Whether the end of its answer waits for the confirmation of a commit. */
    bool needsConfirmation(const batch_info &info, bool isPrimary) const;

    /** Takes up the @p status of ReadyForQuery; true if the request may have committed a change. */
    bool onAnswered(const batch_info &info, bool isPrimary, char status, bool hasError);
    /** The connection of the session is gone. */
    void onConnectionLost();
    /** The open transaction is lost; the session refuses statements until its end. */
    void onFailed();
    /** The end of a failed transaction arrived. */
    void endFailed();

    bool isOpen() const;
    bool isFailed() const;
    /** Whether the session has state on its connection. */
    bool isPinned() const;
    /** For ReadyForQuery: 'I', 'T' or 'E'. */
    char status() const;

private:
    char m_status = 'I';
    bool m_wrote = false;
    bool m_failed = false; ///< The target connection of an open transaction was lost.
    bool m_pinned = false;
};

}
