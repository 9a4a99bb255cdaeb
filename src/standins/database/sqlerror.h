#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace crocusdeal
{

/** An error that goes to the client as ErrorResponse. */
class sql_error : public std::runtime_error
{
public:
    sql_error(std::string sqlState, const std::string &message)
        : std::runtime_error(message)
        , m_sqlState(std::move(sqlState))
    {
    }

    const std::string &sqlState() const
    {
        return m_sqlState;
    }

private:
    std::string m_sqlState;
};

}
