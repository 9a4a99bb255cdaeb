#include "peercodec.h"

#include "binaryfields.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>
#include <streambuf>
#include <type_traits>

namespace crocusdeal
{

namespace
{

template<typename Archive>
void memberField(Archive &archive, member_fact &fact)
{
    idField(archive, fact.about);
    archive(fact.incarnation);
    enumField(archive, fact.state, member_state::Dead);
    bool described = fact.description != nullptr;
    flagField(archive, described);
    if (!described) {
        return;
    }
    member_description description;
    if constexpr (!Archive::is_loading::value) {
        description = *fact.description;
    }
    idField(archive, description.dataCentre);
    textField<std::uint8_t>(archive, description.callerAddress);
    textField<std::uint8_t>(archive, description.controlAddress);
    textField<std::uint8_t>(archive, description.adminAddress);
    archive(fact.configurationVersion);
    if constexpr (Archive::is_loading::value) {
        description.id = fact.about;
        fact.description = std::make_shared<const member_description>(std::move(description));
    }
}

template<typename Archive>
void countField(Archive &archive, int &count)
{
    auto value = static_cast<std::uint16_t>(std::clamp(count, 0, int{std::numeric_limits<std::uint16_t>::max()}));
    archive(value);
    count = value;
}

template<typename Archive>
void databaseField(Archive &archive, database_fact &fact)
{
    constexpr std::int32_t noAge = -1;
    idField(archive, fact.group);
    idField(archive, fact.target);
    archive(fact.status.term);
    enumField(archive, fact.status.role, target_role::Fenced);
    archive(fact.status.at.term, fact.status.at.offset);
    countField(archive, fact.status.connections);
    countField(archive, fact.status.maxConnections);
    textField<std::uint8_t>(archive, fact.status.following);
    constexpr std::int64_t maxAge = std::numeric_limits<std::int32_t>::max();
    auto age = fact.age ? static_cast<std::int32_t>(std::clamp<std::int64_t>(fact.age->ms, 0, maxAge)) : noAge;
    archive(age);
    fact.age = age < 0 ? std::nullopt : std::optional(duration{age});
}

template<typename Archive>
void datagramFields(Archive &archive, peer_datagram &datagram)
{
    enumField(archive, datagram.kind, datagram_kind::Gossip);
    archive(datagram.sequence, datagram.fromIncarnation, datagram.configurationVersion, datagram.tableDigest);
    archive(datagram.health);
    flagField(archive, datagram.needsDescription);
    enumField(archive, datagram.fromState, member_state::Dead);
    idField(archive, datagram.from);
    idField(archive, datagram.to);
    idField(archive, datagram.subject);
    textField<std::uint8_t>(archive, datagram.subjectAddress);
    const auto member = [](Archive &a, member_fact &fact) { memberField(a, fact); };
    const auto hash = [](Archive &a, std::uint32_t &value) { a(value); };
    const auto database = [](Archive &a, database_fact &fact) { databaseField(a, fact); };
    listField<std::uint8_t>(archive, datagram.members, maxFactsPerDatagram, member);
    listField<std::uint8_t>(archive, datagram.wantedGroups, maxDatagramBytes / sizeof(std::uint32_t), hash);
    listField<std::uint8_t>(archive, datagram.databases, maxFactsPerDatagram, database);
}

template<typename Archive>
void replyFields(Archive &archive, configuration_reply &reply)
{
    constexpr std::size_t maxChanges = 1000;
    flagField(archive, reply.busy);
    archive(reply.version, reply.hash, reply.baseVersion);
    listField<std::uint16_t>(archive, reply.changes, maxChanges, [](Archive &a, text_change &change) {
        a(change.fromVersion, change.toVersion, change.prefix, change.suffix);
        textField<std::uint32_t>(a, change.middle);
    });
    textField<std::uint32_t>(archive, reply.text);
}

template<typename Archive>
void requestFields(Archive &archive, peer_request &request)
{
    idField(archive, request.from);
    textField<std::uint32_t>(archive, request.bytes);
}

template<typename T, typename Fields>
std::string encode(T value, Fields fields)
{
    string_buffer buffer;
    buffer.bytes.push_back(static_cast<char>(peerProtocolVersion));
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    fields(archive, value);
    return std::move(buffer.bytes);
}

template<typename T, typename Fields>
std::optional<T> decode(std::string_view bytes, Fields fields)
{
    if (bytes.empty() || static_cast<std::uint8_t>(bytes.front()) != peerProtocolVersion) {
        return std::nullopt;
    }
    view_buffer buffer(bytes.substr(1));
    std::istream stream(&buffer);
    try {
        T value;
        cereal::PortableBinaryInputArchive archive(stream);
        fields(archive, value);
        return value;
    } catch (const std::exception &) {
        // cereal reports input that ends early by an exception.
        return std::nullopt;
    }
}

constexpr std::size_t maxTableMembers = 20'000;
constexpr std::size_t maxHeldVersions = 64;

constexpr auto datagramCoder = [](auto &archive, peer_datagram &datagram) { datagramFields(archive, datagram); };
constexpr auto replyCoder = [](auto &archive, configuration_reply &reply) { replyFields(archive, reply); };
constexpr auto requestCoder = [](auto &archive, peer_request &request) { requestFields(archive, request); };
constexpr auto tableCoder = [](auto &archive, std::vector<member_fact> &facts) {
    using archive_type = std::remove_reference_t<decltype(archive)>;
    listField<std::uint32_t>(
        archive, facts, maxTableMembers, [](archive_type &a, member_fact &fact) { memberField(a, fact); });
};
constexpr auto versionsCoder = [](auto &archive, std::vector<std::uint64_t> &versions) {
    using archive_type = std::remove_reference_t<decltype(archive)>;
    listField<std::uint8_t>(
        archive, versions, maxHeldVersions, [](archive_type &a, std::uint64_t &version) { a(version); });
};

}

std::string encodeDatagram(const peer_datagram &datagram)
{
    auto bytes = encode(datagram, datagramCoder);
    if (bytes.size() <= maxDatagramBytes) {
        return bytes;
    }
    auto shorter = datagram;
    while (bytes.size() > maxDatagramBytes && (!shorter.databases.empty() || !shorter.members.empty())) {
        if (!shorter.databases.empty()) {
            shorter.databases.pop_back();
        } else {
            shorter.members.pop_back();
        }
        bytes = encode(shorter, datagramCoder);
    }
    return bytes;
}

std::optional<peer_datagram> decodeDatagram(std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes) {
        return std::nullopt;
    }
    return decode<peer_datagram>(bytes, datagramCoder);
}

std::string encodeTable(const std::vector<member_fact> &facts)
{
    return encode(facts, tableCoder);
}

std::optional<std::vector<member_fact>> decodeTable(std::string_view bytes)
{
    return decode<std::vector<member_fact>>(bytes, tableCoder);
}

std::string encodeHeldVersions(const std::vector<std::uint64_t> &versions)
{
    return encode(versions, versionsCoder);
}

std::optional<std::vector<std::uint64_t>> decodeHeldVersions(std::string_view bytes)
{
    return decode<std::vector<std::uint64_t>>(bytes, versionsCoder);
}

std::string encodeConfigurationReply(const configuration_reply &reply)
{
    return encode(reply, replyCoder);
}

std::optional<configuration_reply> decodeConfigurationReply(std::string_view bytes)
{
    return decode<configuration_reply>(bytes, replyCoder);
}

std::string encodeRequest(const peer_request &request)
{
    return encode(request, requestCoder);
}

std::optional<peer_request> decodeRequest(std::string_view bytes)
{
    return decode<peer_request>(bytes, requestCoder);
}

}
