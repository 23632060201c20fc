// Gathers parts for entry hosts of other zones.
//
//   GatherRelay relay({.runtime = runtime, .links = links, ...});
//   GatherReply reply = relay.Gather(call);   // blocks the fiber
//   GatherReply rest = relay.More(token);     // blocks the fiber
//   relay.End(token, grace);
//
// Answers the pattern of many parts from another zone: their heads and records
// cross between zones once for each part, and most of the records are not among
// the answer's greatest.

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
  // Hears of each attempt, and bounds those on a target.
  LoadBalancer& balancer;
  // Calls that run at the same time; more are refused.
  size_t most_running = 64;
};

class GatherRelay {
 public:
  explicit GatherRelay(GatherRelayOptions options);
  ~GatherRelay();

  GatherReply Gather(const GatherCall& call);
  // Empty where the token isn't known, or all has been told.
  GatherReply More(uint64_t token);
  void End(uint64_t token, Duration grace);
  // The records that were held back from that reply; nothing: they are gone.
  std::optional<std::string> Held(uint64_t token, uint16_t batch) const;

  // Forgets records that are held, requests past their deadline, and runs that
  // nobody has asked for since theirs. Called every few hundred milliseconds.
  void Sweep(TimePoint now);

  // From now on calls are refused; those that run go on.
  void StartDraining() { this->is_draining = true; }
  size_t running() const { return this->runs.size(); }

 private:
  struct Attempt;
  struct KnownRequest;
  struct Run;

  // The request that the call names; null: it isn't known.
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
  // Records that were held back, by token and batch.
  struct HeldBatch {
    TimePoint until;
    std::string records;
  };
  std::map<std::pair<uint64_t, uint16_t>, HeldBatch> held;
  bool is_draining = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_RELAY_H_
