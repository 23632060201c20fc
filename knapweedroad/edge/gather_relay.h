// Sends attempts to targets for other entry hosts, and returns the merged
// records of their answers.
//
//   GatherRelay relay({.runtime = runtime, .links = links, ...});
//   GatherReply reply = relay.Gather(call);   // blocks the fiber
//   GatherReply rest = relay.More(token);     // blocks the fiber
//   relay.End(token, grace);
//
// Answers two loads: scatters over targets of another zone, whose answers would
// cross between zones one by one although most of their records are dropped,
// and many entry hosts with few requests each, which share the connections of
// few coordinators.

#ifndef KNAPWEEDROAD_EDGE_GATHER_RELAY_H_
#define KNAPWEEDROAD_EDGE_GATHER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;
class Runtime;
class TargetLinks;
struct GatherCall;
struct GatherReply;
struct HeaderNames;
struct TargetReply;

struct GatherRelayOptions {
  // These outlive the relay.
  Runtime& runtime;
  const HeaderNames& header_names;
  TargetLinks& links;
  // Records the outcome of each attempt, and limits the attempts in flight to a
  // target.
  LoadBalancer& balancer;
  // Called for each attempt that is sent; may be empty.
  std::function<void(const ServiceId&)> on_attempt;
  // The most calls that run at the same time; further ones are refused.
  size_t most_running = 64;
};

class GatherRelay {
 public:
  explicit GatherRelay(GatherRelayOptions options);
  ~GatherRelay();

  // Starts the attempts of the call. Returns when all have ended, when one has
  // failed, or after GatherCall::reply_within_us, with the parts that have
  // ended by then.
  GatherReply Gather(const GatherCall& call);
  // Waits for further parts of a call, for a quarter of a second at most.
  // Returns an empty reply if the token is unknown or all parts were returned.
  GatherReply More(uint64_t token);
  // Cancels the attempts of a call that are still in flight after `grace`.
  void End(uint64_t token, Duration grace);
  // Returns the records that were left out of a reply; nothing if they have
  // been dropped.
  std::optional<std::string> Held(uint64_t token, uint16_t batch) const;

  // Drops withheld records and requests whose time has passed, and runs that
  // have outlived their deadline. Must be called every few hundred
  // milliseconds.
  void Sweep(TimePoint now);

  // Refuses further calls. Those that run continue.
  void StartDraining() { this->is_draining = true; }
  // Has calls that run return now with the parts that have ended; attempts that
  // haven't ended are cut, and told as broken.
  void StopRunning();
  size_t running() const { return this->runs.size(); }
  // Whether records of answered calls may still be asked for.
  bool holds_records() const { return !this->held.empty(); }

 private:
  struct Attempt;
  struct KnownRequest;
  struct Run;

  // Returns the request that the call carries or refers to; null if it is
  // unknown.
  std::shared_ptr<const KnownRequest> FindRequest(const GatherCall& call);

  void Send(const std::shared_ptr<Run>& run,
            const GatherCall& call,
            size_t index);
  void OnReply(const std::shared_ptr<Run>& run,
               size_t index,
               TargetReply reply);
  GatherReply TakeParts(uint64_t token, Run& run);
  void ForgetIfOver(uint64_t token, const Run& run);

  GatherRelayOptions options;
  // By GatherCall::request_token, until their callers are gone.
  std::unordered_map<uint64_t, std::shared_ptr<const KnownRequest>> requests;
  std::unordered_map<uint64_t, std::shared_ptr<Run>> runs;
  // Records that were left out of replies, by token and batch.
  struct HeldBatch {
    TimePoint until;
    std::string records;
  };
  std::map<std::pair<uint64_t, uint16_t>, HeldBatch> held;
  bool is_draining = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_RELAY_H_
