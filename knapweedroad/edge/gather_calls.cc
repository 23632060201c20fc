#include "knapweedroad/edge/gather_calls.h"

#include <chrono>
#include <utility>

#include "knapweedroad/edge/gather_codec.h"
#include "knapweedroad/edge/gather_messages.h"
#include "knapweedroad/edge/gather_relay.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {

tl::expected<std::string, std::string> AnswerGatherCall(
    GatherRelay& relay,
    PeerMessageType type,
    const std::string& body) {
  if (type == PeerMessageType::kGather) {
    const auto call = DecodeCompact<GatherCall>(body);
    return call ? tl::expected<std::string, std::string>(
                      EncodeGatherReply(relay.Gather(*call)))
                : tl::unexpected("unreadable call: " + call.error());
  }
  if (type == PeerMessageType::kGatherMore) {
    const auto call = DecodeCompact<GatherMoreCall>(body);
    return call ? tl::expected<std::string, std::string>(
                      EncodeGatherReply(relay.More(call->token)))
                : tl::unexpected("unreadable call: " + call.error());
  }
  if (type == PeerMessageType::kGatherEnd) {
    const auto call = DecodeCompact<GatherEndCall>(body);
    if (!call) {
      return tl::unexpected("unreadable call: " + call.error());
    }
    relay.End(call->token, std::chrono::microseconds(call->grace_us));
    return std::string();
  }
  if (type == PeerMessageType::kGatherHeld) {
    const auto call = DecodeCompact<GatherHeldCall>(body);
    if (!call) {
      return tl::unexpected("unreadable call: " + call.error());
    }
    auto records = relay.Held(call->token, call->batch);
    return EncodeCompact(
        GatherHeldReply{.is_found = records.has_value(),
                        .records = std::move(records).value_or("")});
  }
  return tl::unexpected(std::string("not a call of entry hosts"));
}

}  // namespace knapweedroad
