// The kinds of messages between hosts.

#ifndef KNAPWEEDROAD_WIRE_PEER_MESSAGE_TYPE_H_
#define KNAPWEEDROAD_WIRE_PEER_MESSAGE_TYPE_H_

#include <cstdint>

namespace knapweedroad {

// The numbers stand on the wire and never change their meaning.
enum class PeerMessageType : uint16_t {
  kAttempt = 1,        // AttemptCall -> AttemptReply
  kCancel = 2,         // CancelCall -> nothing
  kReport = 3,         // TargetReport -> nothing
  kLookup = 4,         // LookupCall -> LookupReply
  kLease = 5,          // LeaseRequest -> LeaseReply
  kControl = 6,        // agreement between control replicas
  kConfiguration = 7,  // ConfigurationPull -> ConfigurationPush
  kHeartbeat = 8,      // over UDP, and over TCP where UDP is silent
  kChange = 9,         // an operator's change, to a control replica
  kGoodbye = 10,       // a clean stop
  kWatch = 11,         // WatchCall -> WatchReply
  kPull = 12,          // PullCall -> PullReply
  kRollout = 13,       // RolloutReport -> RolloutReportReply
  kGather = 14,        // GatherCall -> GatherReply
  kGatherMore = 15,    // GatherMoreCall -> GatherReply
  kGatherEnd = 16,     // GatherEndCall -> nothing
  kGatherHeld = 17,    // GatherHeldCall -> GatherHeldReply
  kOutcomes = 18,      // OutcomeReport -> nothing
  kConfirm = 19,       // ConfirmCall -> ConfirmReply
  kRefill = 20,        // RefillCall -> RefillReply
  kPermit = 21,        // PermitCall -> PermitReply
  kLossReport = 22,    // LossReport -> nothing
  kDeparture = 23,     // DepartureCall -> DepartureReply
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_PEER_MESSAGE_TYPE_H_
