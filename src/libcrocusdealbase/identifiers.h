#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace crocusdeal
{

/** A name that cannot be mistaken for a name of another kind. */
template<typename Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &str() const
    {
        return m_value;
    }
    bool empty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const identifier &, const identifier &) = default;

private:
    std::string m_value;
};

using instance_id = identifier<struct instance_tag>;
using target_id = identifier<struct target_tag>;
using group_id = identifier<struct group_tag>;
using service_id = identifier<struct service_tag>;
using data_centre_id = identifier<struct data_centre_tag>;

}

template<typename Tag>
struct std::hash<crocusdeal::identifier<Tag>> {
    std::size_t operator()(const crocusdeal::identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};
