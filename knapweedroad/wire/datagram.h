// One UDP message between hosts.

#ifndef KNAPWEEDROAD_WIRE_DATAGRAM_H_
#define KNAPWEEDROAD_WIRE_DATAGRAM_H_

#include <string>

#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

struct Datagram {
  PeerMessageType type = PeerMessageType::kHeartbeat;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->type, this->body);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_DATAGRAM_H_
