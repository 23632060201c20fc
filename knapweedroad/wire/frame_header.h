// The fixed head of every message on a TCP connection between hosts.

#ifndef KNAPWEEDROAD_WIRE_FRAME_HEADER_H_
#define KNAPWEEDROAD_WIRE_FRAME_HEADER_H_

#include <cstddef>
#include <cstdint>

#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

enum class FrameKind : uint8_t { kCall = 1, kReply = 2, kFailure = 3 };

struct FrameHeader {
  FrameKind kind = FrameKind::kCall;
  PeerMessageType type = PeerMessageType::kAttempt;
  // Bytes of the body that follows.
  uint32_t body_bytes = 0;
  // Numbers the calls of one connection; a reply carries its call's.
  uint64_t call = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->type, this->body_bytes, this->call);
  }
};

// One byte order mark of the archive, then the fields.
inline constexpr size_t kFrameHeaderBytes = 1 + 1 + 2 + 4 + 8;
inline constexpr uint32_t kMaxFrameBody = 16 << 20;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_FRAME_HEADER_H_
