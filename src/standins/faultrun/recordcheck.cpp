#include "recordcheck.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

std::string nameOf(const record_check::write_answer &answer)
{
    return answer.id + " of " + answer.item + "=" + std::to_string(answer.number) + " through " + answer.instance
        + ", answered at " + std::to_string(answer.at) + " ms";
}

}

void record_check::writeAcknowledged(const write_answer &answer, const std::set<std::string> *primaryLog)
{
    m_acknowledged.push_back(answer);
    auto &required = m_required[answer.item];
    required = std::max(required, answer.number);
    if (primaryLog != nullptr && !primaryLog->contains(answer.id)) {
        recordLost(answer, "the primary of that time");
    }
}

void record_check::writeRefused(const write_answer &answer)
{
    m_refused.push_back(answer);
}

std::uint64_t record_check::required(const std::string &item) const
{
    const auto found = m_required.find(item);
    return found == m_required.end() ? 0 : found->second;
}

void record_check::readAnswered(const std::string &id,
                                const std::string &item,
                                std::uint64_t required,
                                std::uint64_t found)
{
    const auto kept = std::min(required, this->required(item));
    if (found < kept) {
        addFinding("STALE: " + id + " of " + item + " found " + std::to_string(found)
                   + ", acknowledged before it was sent: " + std::to_string(kept));
    }
}

void record_check::leads(const std::string &database, const std::vector<std::string> &log)
{
    const std::set<std::string> held(log.begin(), log.end());
    for (const auto &answer : m_acknowledged) {
        if (!held.contains(answer.id)) {
            recordLost(answer, database);
        }
    }
}

void record_check::recordLost(const write_answer &answer, const std::string &where)
{
    if (!m_lost.insert(answer.id).second) {
        return;
    }
    addFinding("LOST: " + nameOf(answer) + " is not in the log of " + where);
    auto &required = m_required[answer.item];
    required = 0;
    for (const auto &other : m_acknowledged) {
        const bool isKept = other.item == answer.item && !m_lost.contains(other.id);
        required = isKept ? std::max(required, other.number) : required;
    }
}

void record_check::ended(const std::vector<std::string> &primaryLog)
{
    leads("the last primary", primaryLog);
    std::set<std::string> seen;
    for (const auto &id : primaryLog) {
        if (!seen.insert(id).second) {
            addFinding("TWICE: " + id + " is in the log twice");
        }
    }
    for (const auto &answer : m_refused) {
        if (seen.contains(answer.id)) {
            addFinding("REFUSED: " + nameOf(answer) + " was refused as not run, and is in the log");
        }
    }
}

int record_check::acknowledged() const
{
    return static_cast<int>(m_acknowledged.size());
}

int record_check::findings() const
{
    return m_findings;
}

void record_check::addFinding(const std::string &finding)
{
    ++m_findings;
    if (onFinding) {
        onFinding(finding);
    }
}

}
