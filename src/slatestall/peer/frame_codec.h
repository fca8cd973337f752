#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/peer/messages_generated.h"

namespace slatestall {

/// Version of the protocol between hosts, sent in `hello`.
inline constexpr std::uint16_t kPeerProtocolVersion = 1;

/// @brief The frame with its length in front, ready to be written.
/// @ingroup peer
std::string EncodeFrame(const wire::frameT& frame);

/// @brief Reads one payload; null where it is malformed. A known kind always
/// has a body. A kind of a later release is returned without one.
std::unique_ptr<wire::frameT> DecodeFrame(
    const std::vector<std::uint8_t>& payload);

/// @brief Whether this release knows the kind.
bool IsKnownKind(wire::message kind);

/// @brief The kind of reply that answers `request`; `NONE` where the kind is
/// not a request.
wire::message ReplyKind(wire::message request);

/// @brief A message as the union that frames carry.
template <typename Message>
wire::messageUnion MakeMessage(Message message) {
  wire::messageUnion body;
  body.Set(std::move(message));
  return body;
}

/// @brief An `error_reply`.
wire::messageUnion MakeErrorReply(const std::string& error_kind,
                                  const std::string& detail);

}  // namespace slatestall
