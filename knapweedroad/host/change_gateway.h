// Brings operators' changes and reads to control: to the replica on this host
// or, where there is none, to one over the peer links.
//
//   ChangeGateway gateway({.replicas = ReplicaHosts, .call = CallPeer});
//   ChangeOutcome outcome = gateway.Change(call, Runtime::Now() + 10s);
//   links.OnCall(PeerMessageType::kChange,
//                [&](PeerMessageType, std::string body) {
//                  return gateway.Answer(body);
//                });

#ifndef KNAPWEEDROAD_HOST_CHANGE_GATEWAY_H_
#define KNAPWEEDROAD_HOST_CHANGE_GATEWAY_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/change_request.h"
#include "knapweedroad/host/change_call.h"
#include "knapweedroad/host/peer_call.h"

namespace knapweedroad {

struct ControlValue;

struct ChangeGatewayOptions {
  // The replica on this host; both null where there is none. A read that no
  // quorum answered is absent.
  std::function<ChangeOutcome(const ChangeRequest&, TimePoint deadline)> change;
  std::function<std::optional<ControlValue>(TimePoint deadline)> read;
  // The hosts of the other replicas, the first to be asked in front; where
  // none is known, nothing is waited for.
  std::function<std::vector<HostId>()> replicas;
  PeerCall call;
  // The process's clock and sleep unless set.
  std::function<TimePoint()> now;
  std::function<void(Duration)> pause;
  // How long one replica may keep a call before the next one is asked: one
  // that is cut off must not use up all of the time.
  Duration try_timeout = std::chrono::seconds(3);
  // Between two rounds over all replicas.
  Duration round_pause = std::chrono::milliseconds(200);
};

// Blocks the calling fiber; any number of calls may run at once.
class ChangeGateway {
 public:
  explicit ChangeGateway(ChangeGatewayOptions options);

  // Sends the change to one replica after the other until one settles it or
  // the deadline comes; it is then unknown (kNoQuorum). Asking a second
  // replica is safe though the first may have run it: the author's request id
  // makes it run once, and every later answer is the first one.
  //
  // A change that provably reached no replica is unknown as well: the same
  // request may have been sent through another host before, and have run.
  ChangeOutcome Change(const ChangeCall& call, TimePoint deadline);

  // Absent where no replica could read through a quorum before the deadline.
  std::optional<AgreedConfiguration> Read(TimePoint deadline);

  // Answers another host's call by this host's replica, and never passes it
  // on: two hosts that take each other for a replica make no loop.
  tl::expected<std::string, std::string> Answer(std::string_view body);

 private:
  // Gets each reply; true once it settles the matter.
  using IsSettled = std::function<bool(const OperatorReply&)>;

  void AskReplicas(OperatorCall call,
                   TimePoint deadline,
                   const IsSettled& is_settled);
  std::optional<OperatorReply> AskOne(const HostId& host,
                                      OperatorCall& call,
                                      TimePoint deadline);
  ChangeOutcome ChangeHere(const ChangeCall& call, TimePoint deadline);
  std::optional<AgreedConfiguration> ReadHere(TimePoint deadline);

  ChangeGatewayOptions options;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CHANGE_GATEWAY_H_
