#include "knapweedroad/edge/peer_calls.h"

#include <chrono>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/edge/agreed_value.h"
#include "knapweedroad/edge/departure_messages.h"
#include "knapweedroad/edge/quorum_confirmer.h"
#include "knapweedroad/edge/quota_calls.h"
#include "knapweedroad/edge/rollout_owner.h"
#include "knapweedroad/edge/watch_hub.h"
#include "knapweedroad/freshness/confirm_messages.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/rollout/rollout_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

tl::expected<std::string, std::string> AnswerWatch(WatchHub& hub,
                                                   const std::string& body) {
  const auto call = DecodePacked<WatchCall>(body);
  if (!call) {
    return tl::unexpected("unreadable call: " + call.error());
  }
  return hub.Answer(*call);
}

tl::expected<std::string, std::string> AnswerPull(const AgreedValue& agreed,
                                                  const std::string& body) {
  const auto call = DecodeBytes<PullCall>(body);
  if (!call) {
    return tl::unexpected("unreadable call: " + call.error());
  }
  PullReply reply{.agreed_version = agreed.version()};
  if (call->held_version < agreed.version()) {
    reply.agreed_text = agreed.text();
  }
  return EncodePacked(reply);
}

tl::expected<std::string, std::string> AnswerRollout(RolloutOwner& rollouts,
                                                     const std::string& body) {
  const auto report = DecodePacked<RolloutReport>(body);
  if (!report) {
    return tl::unexpected("unreadable report: " + report.error());
  }
  return EncodePacked(rollouts.Answer(*report));
}

tl::expected<std::string, std::string> TakeOutcomes(const PeerCallParts& parts,
                                                    const std::string& body) {
  const auto report = DecodePacked<OutcomeReport>(body);
  if (!report) {
    return tl::unexpected("unreadable report: " + report.error());
  }
  parts.on_outcomes(*report);
  return std::string();
}

tl::expected<std::string, std::string> AnswerDeparture(
    const PeerCallParts& parts,
    const std::string& body) {
  const auto call = DecodePacked<DepartureCall>(body);
  if (!call) {
    return tl::unexpected("unreadable call: " + call.error());
  }
  const auto reply = parts.on_departures(*call);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  return EncodePacked(*reply);
}

tl::expected<std::string, std::string> AnswerConfirm(
    const QuorumConfirmer& confirmer,
    const std::string& body) {
  // Read late, it makes the confirmation look older, never younger.
  const BootTime arrived = BootClock::now();
  const auto call = DecodeCompact<ConfirmCall>(body);
  if (!call) {
    return tl::unexpected("unreadable call: " + call.error());
  }
  ConfirmReply reply;
  if (const auto& newest = confirmer.newest()) {
    reply = {.is_confirmed = true,
             .version = newest->version,
             .offset_us = std::chrono::floor<std::chrono::microseconds>(
                              newest->began - arrived)
                              .count()};
  }
  return EncodeCompact(reply);
}

}  // namespace

tl::expected<std::string, std::string> AnswerPeerCall(
    const PeerCallParts& parts,
    PeerMessageType type,
    const std::string& body) {
  switch (type) {
    case PeerMessageType::kControl:
      return parts.replica.OnPeerMessage(body);
    case PeerMessageType::kWatch:
      return AnswerWatch(parts.hub, body);
    case PeerMessageType::kPull:
      return AnswerPull(parts.agreed, body);
    case PeerMessageType::kRollout:
      return AnswerRollout(parts.rollouts, body);
    case PeerMessageType::kOutcomes:
      return TakeOutcomes(parts, body);
    case PeerMessageType::kRefill:
      return AnswerRefillCall(parts.quota, body);
    case PeerMessageType::kPermit:
      return AnswerPermitCall(parts.quota, body);
    case PeerMessageType::kConfirm:
      return AnswerConfirm(parts.confirmer, body);
    case PeerMessageType::kDeparture:
      return AnswerDeparture(parts, body);
    default:
      return tl::unexpected(std::string("not a call of control hosts"));
  }
}

}  // namespace knapweedroad
