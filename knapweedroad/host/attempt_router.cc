#include "knapweedroad/host/attempt_router.h"

#include <algorithm>
#include <string>
#include <utility>

#include "knapweedroad/host/target_link.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/cancel_call.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

constexpr Duration kCancelTimeout = std::chrono::milliseconds(100);

AttemptReply NotSent(AttemptEnd end) {
  return {.end = end, .outcome = RunOutcome::kNotRun};
}

AttemptReply HopFailed(const NetError& error) {
  // A connection that ended with the call on it says nothing of the target:
  // the holder may have sent it on.
  return {
      .end = error.kind == NetErrorKind::kTimeout ? AttemptEnd::kTimeout
                                                  : AttemptEnd::kConnection,
      .outcome = error.written ? RunOutcome::kUnknown : RunOutcome::kNotRun};
}

}  // namespace

AttemptRouter::AttemptRouter(AttemptRouterOptions options)
    : options(std::move(options)) {}

AttemptReply AttemptRouter::Run(AttemptCall call, TimePoint deadline) {
  if (TargetLink* link = this->options.local(call.target)) {
    return link->Run(call, deadline);
  }
  const HostId holder = this->options.holder_of(call.target);
  PeerClient* peer = holder.empty() ? nullptr : this->options.peer(holder);
  if (peer == nullptr) {
    return NotSent(AttemptEnd::kNotHolder);
  }
  return this->RunAt(*peer, std::move(call), deadline);
}

AttemptReply AttemptRouter::RunAt(PeerClient& peer,
                                  AttemptCall call,
                                  TimePoint deadline) {
  const Duration left = deadline - Runtime::Now();
  if (left <= Duration::zero()) {
    return NotSent(AttemptEnd::kTimeout);
  }
  call.remaining_ns = static_cast<uint64_t>(left.count());
  const auto bytes =
      peer.Call(PeerMessageType::kAttempt, EncodeBytes(call), deadline);
  if (!bytes) {
    return HopFailed(bytes.error());
  }
  auto reply = DecodeBytes<AttemptReply>(*bytes);
  if (!reply) {
    return {.end = AttemptEnd::kBroken, .outcome = RunOutcome::kUnknown};
  }
  return std::move(*reply);
}

void AttemptRouter::Cancel(const AttemptId& attempt, const TargetId& target) {
  if (TargetLink* link = this->options.local(target)) {
    link->Cancel(attempt);
    return;
  }
  const HostId holder = this->options.holder_of(target);
  PeerClient* peer = holder.empty() ? nullptr : this->options.peer(holder);
  if (peer != nullptr) {
    static_cast<void>(peer->Call(
        PeerMessageType::kCancel,
        EncodeBytes(CancelCall{.attempt = attempt, .target = target}),
        Runtime::Now() + kCancelTimeout));
  }
}

}  // namespace knapweedroad
