// Detects that this host's zone is cut off from the other zones, and decides
// whether callers should be diverted to hosts of another zone.
//
//   ZoneReachability reachability;
//   reachability.OnUnanswered(target);  // a target of another zone
//   reachability.OnRequestEnded(/*is_served=*/false, now);
//   if (reachability.ShouldDivert(zone_serves_all, now)) ReportNotReady();

#ifndef KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_
#define KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_

#include <set>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A zone may have no targets for some service. While it is cut off from other
// zones its hosts must refuse requests to that service, although callers can
// still reach hosts of other zones. A host that diverts reports that it isn't
// ready, so that the balancer sends callers to another zone.
class ZoneReachability {
 public:
  // Records any answer from a target or control host of another zone, which
  // ends the cut-off and the diversion. Returns whether the zone was considered
  // cut off until now.
  bool OnAnswered(TimePoint now);
  // Records that a target of another zone did not answer or refused
  // connections.
  void OnUnanswered(const TargetId& target);
  // Records whether a control host of this zone reports that it can't reach any
  // control host of another zone. The end of a reported cut-off is treated as
  // an answer from another zone.
  void OnControlReport(bool is_cut_off, TimePoint now);
  // Records the end of a caller's request and whether it was answered.
  void OnRequestEnded(bool is_served, TimePoint now);

  // Whether no other zone appears to be reachable from this one.
  bool is_cut_off(TimePoint now) const;
  // Returns whether callers should be diverted to another zone: this zone is
  // cut off, and too large a share of its last requests was not served.
  // `zone_serves_all` says whether targets in this zone can serve every route.
  // If they can't, a smaller share is enough, and a host without recent
  // requests always diverts. Once true, the result stays true until the zone is
  // no longer cut off. Must be called periodically.
  bool ShouldDivert(bool zone_serves_all, TimePoint now);
  // The last result of ShouldDivert(), or false if another zone has answered
  // since.
  bool is_diverting() const { return this->diverting; }

 private:
  // Targets of other zones that failed to answer since any of them last did.
  std::set<TargetId> unanswered;
  TimePoint answered_at;
  bool reported_cut_off = false;
  // When a control host first reported the present cut-off.
  TimePoint reported_at;
  bool diverting = false;
  TimePoint last_request;
  // Exponentially weighted share of requests that were not served.
  double unserved_share = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_
