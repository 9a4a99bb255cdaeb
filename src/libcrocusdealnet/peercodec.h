#pragma once

#include "configurationspread.h"
#include "peerdatagram.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** First byte of each datagram and frame; others are dropped. */
inline constexpr std::uint8_t peerProtocolVersion = 1;
/** Fits an Ethernet frame with IPv6 headers without fragmentation. */
inline constexpr std::size_t maxDatagramBytes = 1200;
/** A configuration of a megabyte with its envelope. */
inline constexpr std::size_t maxPeerFrameBytes = 1'100'000;

/** Messages over TCP; a request and its response have the same kind. */
enum class peer_message_kind : std::uint8_t {
    Table, ///< Empty; answered with the full member table.
    Configuration, ///< Held versions; answered with a configuration_reply.
    Request, ///< Sender and bytes; answered with bytes.
};

inline constexpr auto peerMessageKindNames = makeNameTable<peer_message_kind>("table", "configuration", "request");

struct peer_request {
    instance_id from;
    std::string bytes;
};

/**
 * Encodes by cereal's portable binary archive with the version byte in front. Database facts, then member facts, are
 * left out from the end until the datagram fits maxDatagramBytes.
 */
std::string encodeDatagram(const peer_datagram &datagram);
/** Nothing if @p bytes are malformed or of another version. Bytes after the last field are ignored. */
std::optional<peer_datagram> decodeDatagram(std::string_view bytes);

std::string encodeTable(const std::vector<member_fact> &facts);
std::optional<std::vector<member_fact>> decodeTable(std::string_view bytes);
std::string encodeHeldVersions(const std::vector<std::uint64_t> &versions);
std::optional<std::vector<std::uint64_t>> decodeHeldVersions(std::string_view bytes);
std::string encodeConfigurationReply(const configuration_reply &reply);
std::optional<configuration_reply> decodeConfigurationReply(std::string_view bytes);
std::string encodeRequest(const peer_request &request);
std::optional<peer_request> decodeRequest(std::string_view bytes);

}
