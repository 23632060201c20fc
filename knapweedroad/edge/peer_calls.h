// What a control host answers to hosts that call it.

#ifndef KNAPWEEDROAD_EDGE_PEER_CALLS_H_
#define KNAPWEEDROAD_EDGE_PEER_CALLS_H_

#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class AgreedValue;
class ControlReplica;
class QuotaService;
class QuorumConfirmer;
class RolloutOwner;
class WatchHub;
struct DepartureCall;
struct DepartureReply;
struct OutcomeReport;

// The parts of a control host that answer calls; all outlive them.
struct PeerCallParts {
  ControlReplica& replica;
  WatchHub& hub;
  const AgreedValue& agreed;
  RolloutOwner& rollouts;
  QuotaService& quota;
  const QuorumConfirmer& confirmer;
  std::function<tl::expected<DepartureReply, std::string>(const DepartureCall&)>
      on_departures;
  std::function<void(const OutcomeReport&)> on_outcomes;
};

// Blocks the calling fiber; the error says what is wrong with the call.
tl::expected<std::string, std::string> AnswerPeerCall(
    const PeerCallParts& parts,
    PeerMessageType type,
    const std::string& body);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_PEER_CALLS_H_
