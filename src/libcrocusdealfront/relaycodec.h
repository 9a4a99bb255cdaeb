#pragma once

#include "relaymessages.h"

#include <functional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Both sides of a connection between instances must speak this version. */
inline constexpr std::uint8_t relayProtocolVersion = 2;

/** Appends the message with its length, version and kind; false, and nothing, if it is too long. */
bool encodeRelay(const relay_message &message, std::string &out);

/** Reads one message from the front of @p bytes and tells in @p used how many of them belong to it. */
decode_status decodeRelay(std::string_view bytes, std::size_t &used, relay_message &message);

/**
 * Takes the complete messages off the front of @p inbound, each until @p handle returns false. Returns false if one of
 * them cannot be read.
 */
bool takeRelayMessages(std::string &inbound, const std::function<bool(relay_message &)> &handle);

}
