// Asks targets that have failed for their health before requests go there
// again.
//
//   auto prober = std::make_shared<TargetProber>(header_names, balancer,
//   links); prober->Probe(now);   // ten times a second

#ifndef KNAPWEEDROAD_EDGE_TARGET_PROBER_H_
#define KNAPWEEDROAD_EDGE_TARGET_PROBER_H_

#include <functional>
#include <memory>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;
class TargetLinks;
struct DueProbe;
struct HeaderNames;
struct TargetReply;

class TargetProber : public std::enable_shared_from_this<TargetProber> {
 public:
  // All outlive it; replies that come after its end are dropped.
  // `on_alive` is called with a target that has answered and is not cold.
  TargetProber(const HeaderNames& header_names,
               LoadBalancer& balancer,
               TargetLinks& links,
               std::function<void(const TargetId&)> on_alive);

  // Asks all that are due, by the load balancer.
  void Probe(TimePoint now);

 private:
  void Send(const DueProbe& probe, TimePoint now);
  void OnReply(const TargetId& target, const TargetReply& reply);

  const HeaderNames& header_names;
  LoadBalancer& balancer;
  TargetLinks& links;
  std::function<void(const TargetId&)> on_alive;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_PROBER_H_
