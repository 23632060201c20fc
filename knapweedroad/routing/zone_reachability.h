// Whether this host's zone seems cut off from the others, and whether callers
// are served better by hosts of another zone meanwhile.
//
//   ZoneReachability reachability;
//   reachability.OnUnanswered(target, now);      // of another zone
//   reachability.OnRequestEnded(/*is_served=*/false, now);
//   if (reachability.ShouldDivert(zone_serves_all, now)) ReportNotReady();
//
// Answers the pattern of a zone without targets of its own for some service:
// cut off, its hosts can only refuse, while callers still reach them, and
// reach the hosts of other zones, too.

#ifndef KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_
#define KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_

#include <set>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ZoneReachability {
 public:
  // A target or control host of another zone has answered anything. True: the
  // zone seemed cut off until now.
  bool OnAnswered(TimePoint now);
  // A target of another zone has been silent, or no connection could be had.
  void OnUnanswered(const TargetId& target);
  // A control host of this zone has lost those of all others, or has one again.
  void OnControlReport(bool is_cut_off, TimePoint now);
  // A caller's request has ended.
  void OnRequestEnded(bool is_served, TimePoint now);

  bool is_cut_off(TimePoint now) const;
  // Cut off, and most of its callers' requests are not served. Where no
  // callers come, `zone_serves_all` decides: whether the zone's own targets
  // could serve them. Stays until an answer comes from outside.
  bool ShouldDivert(bool zone_serves_all, TimePoint now);
  bool is_diverting() const { return this->diverting; }

 private:
  // Targets of other zones that were silent since one last answered.
  std::set<TargetId> unanswered;
  TimePoint answered_at;
  bool reported_cut_off = false;
  // Since when.
  TimePoint reported_at;
  bool diverting = false;
  TimePoint last_request;
  // Smoothed share of requests that were not served.
  double unserved_share = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ZONE_REACHABILITY_H_
