#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Checks what callers were told against the logs of the databases. Positions of time are milliseconds of the run. */
class record_check
{
public:
    struct write_answer {
        std::string id;
        std::string item;
        std::uint64_t number = 0; ///< Written to the item; grows with each write of it.
        std::string instance; ///< That the caller is connected to.
        std::int64_t at = 0;
    };

    /** Told once for each finding. */
    std::function<void(const std::string &finding)> onFinding;

    void writeAcknowledged(const write_answer &answer, const std::set<std::string> *primaryLog);
    /** The caller was told that the write has not run. */
    void writeRefused(const write_answer &answer);
    /** The highest number that a read of the item may not miss if it is sent now. */
    std::uint64_t required(const std::string &item) const;
    /** @p required is from before the read was sent; a commit that has been lost meanwhile does not count. */
    void readAnswered(const std::string &id, const std::string &item, std::uint64_t required, std::uint64_t found);
    /** A database leads from now on, with these commits. */
    void leads(const std::string &database, const std::vector<std::string> &log);
    /** At the end of the run. */
    void ended(const std::vector<std::string> &primaryLog);

    /** What was found elsewhere. */
    void addFinding(const std::string &finding);

    int acknowledged() const;
    int findings() const;

private:
    void recordLost(const write_answer &answer, const std::string &where);

    std::vector<write_answer> m_acknowledged;
    std::vector<write_answer> m_refused;
    std::set<std::string> m_lost; ///< Told already.
    std::map<std::string, std::uint64_t> m_required;
    int m_findings = 0;
};

}
