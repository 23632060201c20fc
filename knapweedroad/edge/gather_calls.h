// What an entry host answers to other entry hosts.

#ifndef KNAPWEEDROAD_EDGE_GATHER_CALLS_H_
#define KNAPWEEDROAD_EDGE_GATHER_CALLS_H_

#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class GatherRelay;

// Blocks the calling fiber; the error says what is wrong with the call.
tl::expected<std::string, std::string> AnswerGatherCall(
    GatherRelay& relay,
    PeerMessageType type,
    const std::string& body);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_CALLS_H_
