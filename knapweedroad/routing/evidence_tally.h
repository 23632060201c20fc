// What this entry host has seen of targets and not reported yet, for each
// control host that it reports to.
//
//   EvidenceTally tally;
//   tally.Count({.target = id, .answered = 1});
//   std::vector<TargetEvidence> report = tally.Take(control_host, now);

#ifndef KNAPWEEDROAD_ROUTING_EVIDENCE_TALLY_H_
#define KNAPWEEDROAD_ROUTING_EVIDENCE_TALLY_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_evidence.h"

namespace knapweedroad {

class EvidenceTally {
 public:
  // Adds to what every control host is still to hear.
  void Count(const TargetEvidence& seen);

  // What `control_host` hasn't heard; the first call gives nothing. A part of
  // it where there is more than a report holds: the rest comes with the next.
  std::vector<TargetEvidence> Take(const HostId& control_host, TimePoint now);

 private:
  struct Pending {
    std::unordered_map<TargetId, TargetEvidence> targets;
    TimePoint taken;
  };

  std::map<HostId, Pending> pending;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_EVIDENCE_TALLY_H_
