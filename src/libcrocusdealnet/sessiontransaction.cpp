#include "sessiontransaction.h"

namespace crocusdeal
{

namespace
{

bool mayChangeData(statement_class cls)
{
    return cls == statement_class::Write || cls == statement_class::SessionState || cls == statement_class::Invalid;
}

}

request_scope session_transaction::scopeOf(const batch_info &info, bool isPrimary) const
{
    const bool changes = mayChangeData(info.cls);
    request_scope scope;
    scope.inTransaction = isOpen();
    scope.endsTransaction = info.endsTransaction;
    scope.mayCommit = isPrimary && (info.endsTransaction ? m_wrote || changes : !isOpen() && changes);
    return scope;
}

bool session_transaction::needsConfirmation(const batch_info &info, bool isPrimary) const
{
    if (!isPrimary) {
        return false;
    }
    if (info.endsTransaction) {
        return m_wrote || info.cls != statement_class::Rollback;
    }
    return !isOpen() && mayChangeData(info.cls);
}

bool session_transaction::onAnswered(const batch_info &info, bool isPrimary, char status, bool hasError)
{
    const bool wasWriting = mayChangeData(info.cls) || m_wrote;
    m_wrote = status != 'I' && wasWriting;
    m_status = status;
    if (info.cls == statement_class::SessionState && !hasError) {
        m_pinned = !info.discardsState;
    }
    return status == 'I' && isPrimary && wasWriting;
}

void session_transaction::onConnectionLost()
{
    m_pinned = false;
    m_wrote = false;
    m_status = 'I';
}

void session_transaction::onFailed()
{
    m_failed = true;
}

void session_transaction::endFailed()
{
    m_failed = false;
    m_status = 'I';
}

bool session_transaction::isOpen() const
{
    return m_status != 'I';
}

bool session_transaction::isFailed() const
{
    return m_failed;
}

bool session_transaction::isPinned() const
{
    return m_pinned;
}

char session_transaction::status() const
{
    return m_failed ? 'E' : m_status;
}

}
