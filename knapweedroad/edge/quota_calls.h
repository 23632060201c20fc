// The messages of quotas between hosts: how they are sent and answered.

#ifndef KNAPWEEDROAD_EDGE_QUOTA_CALLS_H_
#define KNAPWEEDROAD_EDGE_QUOTA_CALLS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ControlFollower;
class PeerClient;
class QuotaService;
class Runtime;
struct PermitCall;
struct PermitReply;
struct RefillCall;
struct RefillReply;

// Blocks the calling fiber; the error says what is wrong with the call.
tl::expected<std::string, std::string> AnswerPermitCall(
    QuotaService& quota,
    const std::string& body);
tl::expected<std::string, std::string> AnswerRefillCall(
    QuotaService& quota,
    const std::string& body);

// Calls a control host that `follower` follows. Blocks the calling fiber until
// the reply or the deadline; empty if there was no readable reply.
std::optional<RefillReply> SendRefillCall(ControlFollower& follower,
                                          const HostId& host,
                                          const RefillCall& call,
                                          TimePoint deadline);

// An entry host's calls for permits. Mostly it follows a single control host;
// another one is called over a connection that is opened when it is needed.
class PermitCaller {
 public:
  // `follower` outlives the caller.
  PermitCaller(Runtime& runtime, ControlFollower& follower, HostId self);
  ~PermitCaller();

  // Returns the control hosts to ask, in this order: those that respond, and
  // then others that are known. Empty if none responds.
  std::vector<HostId> Hosts() const;

  // As SendRefillCall(), for any control host.
  std::optional<PermitReply> Call(const HostId& host,
                                  const PermitCall& call,
                                  TimePoint deadline);

 private:
  struct Spare {
    std::shared_ptr<PeerClient> client;
    // When a call last failed.
    std::optional<TimePoint> failed_at;
  };

  Runtime& runtime;
  ControlFollower& follower;
  HostId self;
  std::map<HostId, Spare> spares;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_QUOTA_CALLS_H_
