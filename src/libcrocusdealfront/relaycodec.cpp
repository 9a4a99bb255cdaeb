#include "relaycodec.h"

#include "binaryfields.h"

#include <istream>
#include <ostream>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t headBytes = lengthBytes + 2; // Then version and kind.
constexpr std::size_t maxFrameBytes = 4'194'304;
constexpr std::size_t maxRows = 100'000;
constexpr std::size_t maxTargets = 1'000; // Of one service.
constexpr std::size_t maxValues = 10'000;
constexpr std::size_t maxLoads = 64; // In one message.
constexpr std::size_t maxLeases = 100'000;
constexpr std::size_t maxServices = 10'000;
constexpr std::size_t maxEntries = 100'000; // Of all services.
constexpr unsigned bitsPerByte = 8;

template<typename Archive>
void durationField(Archive &archive, duration &time)
{
    archive(time.ms);
}

template<typename Archive>
void textPart(Archive &archive, std::string &text)
{
    textField<std::uint32_t>(archive, text);
}

template<typename Archive>
void positionField(Archive &archive, position &at)
{
    archive(at.term, at.offset);
}

template<typename Archive>
void shapeField(Archive &archive, prepared_shape &prepared)
{
    enumField(archive, prepared.kind, effect::Write);
    textPart(archive, prepared.shape);
}

template<typename Archive>
void requestFields(Archive &archive, caller_request &request)
{
    textPart(archive, request.id);
    enumField(archive, request.what.kind, statement_kind::Malformed);
    textPart(archive, request.what.text);
    textPart(archive, request.what.name);
    textPart(archive, request.what.argument);
    enumField(archive, request.what.preparedEffect, effect::Write);
}

template<typename Archive>
void routeFields(Archive &archive, database_route &route)
{
    textPart(archive, route.name);
    textPart(archive, route.database);
    idField(archive, route.service);
    enumField(archive, route.readConsistency, consistency::ReadYourWrites);
    durationField(archive, route.statementTimeout);
    durationField(archive, route.latencyObjective);
    archive(route.priority);
    durationField(archive, route.maxStaleness);
}

template<typename Archive>
void valuesField(Archive &archive, std::map<std::string, std::string> &values)
{
    std::vector<std::pair<std::string, std::string>> list(values.begin(), values.end());
    listField<std::uint32_t>(archive, list, maxValues, [](Archive &a, std::pair<std::string, std::string> &value) {
        textPart(a, value.first);
        textPart(a, value.second);
    });
    if (Archive::is_loading::value) {
        values = {list.begin(), list.end()};
    }
}

template<typename Archive>
void fields(Archive &archive, relay_hello &message)
{
    idField(archive, message.from);
    archive(message.incarnation);
}

template<typename Archive>
void fields(Archive &archive, relay_ping &message)
{
    archive(message.number);
}

template<typename Archive>
void loadFields(Archive &archive, reported_load &load)
{
    idField(archive, load.target);
    archive(load.incarnation);
    durationField(archive, load.age);
    archive(load.inFlight, load.answerMs);
    flagField(archive, load.isFull);
    optionalField(archive, load.behindAt, [](Archive &a, position &at) { positionField(a, at); });
}

template<typename Archive>
void fields(Archive &archive, relay_pong &message)
{
    archive(message.number);
    flagField(archive, message.isLeaving);
    flagField(archive, message.isIsolated);
    flagField(archive, message.isStoreAway);
    optionalField(archive, message.configuration, [](Archive &a, reported_configuration &configuration) {
        a(configuration.version);
        durationField(a, configuration.age);
    });
    listField<std::uint8_t>(
        archive, message.loads, maxLoads, [](Archive &a, reported_load &load) { loadFields(a, load); });
}

template<typename Archive>
void fields(Archive &archive, relay_run &message)
{
    archive(message.number);
    requestFields(archive, message.request);
    enumField(archive, message.kind, effect::Write);
    optionalField(archive, message.prepared, [](Archive &a, prepared_shape &shape) { shapeField(a, shape); });
    optionalField(archive, message.opens, [](Archive &a, statement_kind &kind) {
        enumField(a, kind, statement_kind::BeginRead);
    });
    routeFields(archive, message.route);
    idField(archive, message.workspace);
    archive(message.accessDecidedBy);
    optionalField(archive, message.accessValidFor, [](Archive &a, duration &time) { durationField(a, time); });
    optionalField(archive, message.ownCommit, [](Archive &a, position &at) { positionField(a, at); });
    durationField(archive, message.arrivedAgo);
    durationField(archive, message.startedAgo);
    valuesField(archive, message.values);
}

template<typename Archive>
void fields(Archive &archive, relay_step &message)
{
    archive(message.number, message.transaction);
    requestFields(archive, message.request);
    optionalField(archive, message.prepared, [](Archive &a, prepared_shape &shape) { shapeField(a, shape); });
    durationField(archive, message.limit);
    valuesField(archive, message.values);
}

template<typename Archive>
void fields(Archive &archive, relay_abandon &message)
{
    archive(message.number);
}

template<typename Archive>
void fields(Archive &archive, relay_rollback &message)
{
    archive(message.transaction);
}

template<typename Archive>
void fields(Archive &archive, target_reply &reply)
{
    flagField(archive, reply.isLost);
    textPart(archive, reply.reason);
    listField<std::uint32_t>(archive, reply.rows, maxRows, [](Archive &a, std::string &row) { textPart(a, row); });
    optionalField(archive, reply.signature, [](Archive &a, std::string &text) { textPart(a, text); });
    optionalField(archive, reply.error, [](Archive &a, error_code &code) { enumField(a, code, error_code::Other); });
    textPart(archive, reply.errorText);
    enumField(archive, reply.state, transaction_state::Failed);
    optionalField(archive, reply.at, [](Archive &a, position &at) { positionField(a, at); });
}

template<typename Archive>
void fields(Archive &archive, relay_answer &message)
{
    archive(message.number);
    fields(archive, message.reply);
    optionalField(archive, message.error, [](Archive &a, error_code &code) { enumField(a, code, error_code::Other); });
    textPart(archive, message.errorText);
    flagField(archive, message.isOpen);
}

template<typename Archive>
void fields(Archive &archive, relay_not_served &message)
{
    archive(message.number);
}

template<typename Archive>
void fields(Archive &archive, service_question &message)
{
    archive(message.number);
    idField(archive, message.service);
}

template<typename Archive>
void incarnationsField(Archive &archive, std::map<target_id, std::uint64_t> &incarnations)
{
    std::vector<std::pair<target_id, std::uint64_t>> list(incarnations.begin(), incarnations.end());
    listField<std::uint32_t>(archive, list, maxTargets, [](Archive &a, std::pair<target_id, std::uint64_t> &target) {
        idField(a, target.first);
        a(target.second);
    });
    if (Archive::is_loading::value) {
        incarnations = {list.begin(), list.end()};
    }
}

template<typename Archive>
void fields(Archive &archive, service_answer &message)
{
    archive(message.number);
    flagField(archive, message.knowledge.isStoreAway);
    optionalField(
        archive, message.knowledge.primaryAnsweredAgo, [](Archive &a, duration &ago) { durationField(a, ago); });
    positionField(archive, message.knowledge.committed);
    incarnationsField(archive, message.knowledge.incarnations);
}

template<typename Archive>
void fields(Archive &archive, lease_question &message)
{
    archive(message.number);
}

template<typename Archive>
void leaseFields(Archive &archive, promotion_lease_entry &entry)
{
    idField(archive, entry.service);
    textPart(archive, entry.holder);
    archive(entry.revision);
    enumField(archive, entry.purpose, promotion_lease_purpose::Settled);
    optionalField(archive, entry.openSince, [](Archive &a, std::uint64_t &revision) { a(revision); });
}

template<typename Archive>
void fields(Archive &archive, lease_answer &message)
{
    archive(message.number);
    flagField(archive, message.isRead);
    archive(message.revision);
    listField<std::uint32_t>(
        archive, message.entries, maxLeases, [](Archive &a, promotion_lease_entry &entry) { leaseFields(a, entry); });
}

template<typename Archive>
void fields(Archive &archive, lease_targets &message)
{
    archive(message.number);
    std::vector<std::pair<service_id, std::vector<target_id>>> list(message.targets.begin(), message.targets.end());
    listField<std::uint32_t>(
        archive, list, maxLeases, [](Archive &a, std::pair<service_id, std::vector<target_id>> &named) {
            idField(a, named.first);
            listField<std::uint32_t>(
                a, named.second, maxTargets, [](Archive &b, target_id &target) { idField(b, target); });
        });
    if (Archive::is_loading::value) {
        message.targets = {list.begin(), list.end()};
    }
}

template<typename Archive>
void fields(Archive &archive, target_question &message)
{
    archive(message.number);
    listField<std::uint32_t>(
        archive, message.services, maxServices, [](Archive &a, service_id &service) { idField(a, service); });
}

template<typename Archive>
void entryFields(Archive &archive, target_entry &entry)
{
    idField(archive, entry.id);
    idField(archive, entry.service);
    textPart(archive, entry.address.host);
    archive(entry.address.port);
    idField(archive, entry.dataCentre);
    archive(entry.slots);
    flagField(archive, entry.isDraining);
    flagField(archive, entry.claimsPrimary);
    flagField(archive, entry.isWarmingUp);
    archive(entry.incarnation, entry.revision);
}

template<typename Archive>
void fields(Archive &archive, target_answer &message)
{
    archive(message.number);
    flagField(archive, message.isCurrent);
    archive(message.revision);
    listField<std::uint32_t>(
        archive, message.entries, maxEntries, [](Archive &a, target_entry &entry) { entryFields(a, entry); });
}

template<typename Archive>
void fields(Archive &archive, budget_request &message)
{
    archive(message.number);
    idField(archive, message.workspace);
    archive(message.wanted);
    flagField(archive, message.isFromHolder);
}

template<typename Archive>
void fields(Archive &archive, budget_grant &message)
{
    archive(message.number, message.granted);
    flagField(archive, message.isHolder);
    durationField(archive, message.retryAfter);
}

template<typename Archive>
void fields(Archive &, relay_unknown &)
{
}

template<typename Message>
void readInto(std::string_view payload, relay_message &message)
{
    view_buffer buffer(payload);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    Message value;
    fields(archive, value);
    message = std::move(value);
}

/** Reads the message of the kind at position @p kind of the variant. */
template<std::size_t Index = 0>
void readKind(std::size_t kind, std::string_view payload, relay_message &message)
{
    if constexpr (Index < std::variant_size_v<relay_message>) {
        if (kind == Index) {
            readInto<std::variant_alternative_t<Index, relay_message>>(payload, message);
            return;
        }
        readKind<Index + 1>(kind, payload, message);
    } else {
        message = relay_unknown{};
    }
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

}

bool encodeRelay(const relay_message &message, std::string &out)
{
    string_buffer buffer;
    try {
        std::ostream stream(&buffer);
        cereal::PortableBinaryOutputArchive archive(stream);
        std::visit(
            [&](const auto &value) {
                auto copy = value;
                fields(archive, copy);
            },
            message);
    } catch (const cereal::Exception &) {
        return false;
    }
    const auto length = buffer.bytes.size() + headBytes - lengthBytes;
    if (length > maxFrameBytes) {
        return false;
    }
    for (std::size_t i = lengthBytes; i-- > 0;) {
        out.push_back(static_cast<char>((length >> (i * bitsPerByte)) & 0xFFU));
    }
    out.push_back(static_cast<char>(relayProtocolVersion));
    out.push_back(static_cast<char>(message.index()));
    out.append(buffer.bytes);
    return true;
}

decode_status decodeRelay(std::string_view bytes, std::size_t &used, relay_message &message)
{
    if (bytes.size() < headBytes) {
        return decode_status::Incomplete;
    }
    const auto length = readLength(bytes);
    if (length > maxFrameBytes) {
        return decode_status::TooLarge;
    }
    if (length < headBytes - lengthBytes || static_cast<std::uint8_t>(bytes[lengthBytes]) != relayProtocolVersion) {
        return decode_status::Malformed;
    }
    if (bytes.size() < lengthBytes + length) {
        return decode_status::Incomplete;
    }
    used = lengthBytes + length;
    const auto kind = static_cast<unsigned char>(bytes[lengthBytes + 1]);
    try {
        readKind(kind, bytes.substr(headBytes, used - headBytes), message);
    } catch (const std::exception &) {
        return decode_status::Malformed;
    }
    return decode_status::Decoded;
}

bool takeRelayMessages(std::string &inbound, const std::function<bool(relay_message &)> &handle)
{
    std::size_t taken = 0;
    auto status = decode_status::Decoded;
    for (bool isWanted = true; isWanted;) {
        std::size_t used = 0;
        relay_message message;
        status = decodeRelay(std::string_view(inbound).substr(taken), used, message);
        if (status != decode_status::Decoded) {
            break;
        }
        taken += used;
        // Instances of different versions meet while a fleet is replaced step by step.
        isWanted = std::holds_alternative<relay_unknown>(message) || handle(message);
    }
    inbound.erase(0, taken);
    return status == decode_status::Decoded || status == decode_status::Incomplete;
}

}
