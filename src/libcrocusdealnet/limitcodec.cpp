#include "limitcodec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace crocusdeal
{

namespace
{

constexpr char limitProtocolVersion = 2;

}

template<typename Archive, typename Tag>
void save(Archive &archive, const identifier<Tag> &id)
{
    archive(id.str());
}

template<typename Archive, typename Tag>
void load(Archive &archive, identifier<Tag> &id)
{
    std::string text;
    archive(text);
    id = identifier<Tag>(std::move(text));
}

template<typename Archive>
void serialize(Archive &archive, duration &value)
{
    archive(value.ms);
}

template<typename Archive>
void serialize(Archive &archive, permit_id &id)
{
    archive(id.ledger, id.number);
}

template<typename Archive>
void serialize(Archive &archive, permit_request &m)
{
    archive(m.target, m.holder, m.incarnation, m.sequence, m.ledger, m.seen, m.held, m.wanted, m.running);
}

template<typename Archive>
void serialize(Archive &archive, permit_grant &m)
{
    archive(m.target, m.owner, m.ledger, m.holder, m.incarnation, m.answers, m.granted, m.renewedFor);
}

template<typename Archive>
void serialize(Archive &archive, permit_release &m)
{
    archive(m.target, m.holder, m.incarnation);
}

template<typename Archive>
void serialize(Archive &archive, share_report &m)
{
    archive(m.target, m.holder, m.incarnation, m.sequence, m.ledger, m.seen);
    archive(m.allowance, m.base, m.open, m.leastEstablished, m.wanted, m.round);
}

template<typename Archive>
void serialize(Archive &archive, share_grant &m)
{
    archive(m.target, m.owner, m.ledger, m.holder, m.incarnation);
    archive(m.answers, m.number, m.base, m.allowance, m.round);
}

template<typename Archive>
void serialize(Archive &archive, share_release &m)
{
    archive(m.target, m.holder, m.incarnation);
}

template<typename Archive>
void serialize(Archive &archive, shared_shape &shape)
{
    archive(shape.fingerprint, shape.expected, shape.isLong);
}

template<typename Archive>
void serialize(Archive &archive, shape_report &m)
{
    archive(m.target, m.holder, m.sequence, m.ledger, m.seen, m.shapes);
}

template<typename Archive>
void serialize(Archive &archive, shape_update &m)
{
    archive(m.target, m.holder, m.ledger, m.answers, m.version, m.shapes);
}

template<typename Archive>
void serialize(Archive &archive, limit_messages &m)
{
    archive(m.permitRequests, m.permitGrants, m.permitReleases);
    archive(m.shareReports, m.shareGrants, m.shareReleases);
    archive(m.shapeReports, m.shapeUpdates);
}

bool limit_messages::empty() const
{
    return permitRequests.empty() && permitGrants.empty() && permitReleases.empty() && shareReports.empty()
        && shareGrants.empty() && shareReleases.empty() && shapeReports.empty() && shapeUpdates.empty();
}

std::string encodeLimitMessages(const limit_messages &messages)
{
    std::ostringstream stream;
    stream.put(limitProtocolVersion);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(messages);
    return std::move(stream).str();
}

std::optional<limit_messages> decodeLimitMessages(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != limitProtocolVersion) {
        return std::nullopt;
    }
    try {
        std::istringstream stream{std::string(bytes.substr(1))};
        cereal::PortableBinaryInputArchive archive(stream);
        limit_messages messages;
        archive(messages);
        return messages;
    } catch (const std::exception &) {
        // cereal reports a short input as its own exception and a hostile length as std::length_error or bad_alloc.
        return std::nullopt;
    }
}

}
