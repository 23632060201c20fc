#include "knapweedroad/host/attempt_service.h"

#include <string>

#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/host/target_link.h"
#include "knapweedroad/host/target_table.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/attempt_call.h"
#include "knapweedroad/wire/attempt_reply.h"
#include "knapweedroad/wire/cancel_call.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using Reply = tl::expected<std::string, std::string>;

Reply RunAttempt(TargetTable& targets, const std::string& body) {
  const auto call = DecodeBytes<AttemptCall>(body);
  if (!call) {
    return tl::unexpected(call.error());
  }
  TargetLink* link = targets.FindHeld(call->target);
  if (link == nullptr) {
    return EncodeBytes(AttemptReply{.end = AttemptEnd::kNotHolder,
                                    .outcome = RunOutcome::kNotRun});
  }
  return EncodeBytes(
      link->Run(*call, Runtime::Now() + Duration(call->remaining_ns)));
}

Reply CancelOne(TargetTable& targets, const std::string& body) {
  const auto call = DecodeBytes<CancelCall>(body);
  if (!call) {
    return tl::unexpected(call.error());
  }
  if (TargetLink* link = targets.Find(call->target)) {
    link->Cancel(call->attempt);
  }
  return std::string();
}

}  // namespace

void ServeAttempts(PeerLinks& links, TargetTable& targets) {
  links.OnCall(PeerMessageType::kAttempt,
               [&targets](PeerMessageType, const std::string& body) {
                 return RunAttempt(targets, body);
               });
  links.OnCall(PeerMessageType::kCancel,
               [&targets](PeerMessageType, const std::string& body) {
                 return CancelOne(targets, body);
               });
}

}  // namespace knapweedroad
