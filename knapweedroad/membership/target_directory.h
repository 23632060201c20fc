// All targets that announced themselves to any host, by their latest report.
//
//   TargetDirectory directory({.is_zone_out_of_service = is_out});
//   if (!directory.OnReport(report, now)) return Conflict();
//   heartbeat.reports = directory.TakePendingReports(kMost, now);
//   auto candidates = directory.Candidates(front, service, now);
//
// Reports are ordered by the target's own numbers, whichever way they came. A
// report that was passed on brings its age along: a target that died is noticed
// everywhere at the same time, however often hosts tell each other of it.

#ifndef KNAPWEEDROAD_MEMBERSHIP_TARGET_DIRECTORY_H_
#define KNAPWEEDROAD_MEMBERSHIP_TARGET_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/membership/relayed_report.h"
#include "knapweedroad/target/target_candidate.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

class TargetDirectory {
 public:
  struct Options {
    // Whether operators have taken that zone out.
    std::function<bool(const ZoneId&)> is_zone_out_of_service;
    // A target unheard for this long is no longer chosen.
    Duration stale_after = std::chrono::seconds(5);
    // A target unheard for this long is forgotten, its numbers with it.
    Duration expire_after = std::chrono::minutes(2);
    // A report that says leaving or cold is passed on so many times, as it
    // may be the last, and a lost datagram may not hide it.
    uint32_t urgent_send_count = 5;
  };

  explicit TargetDirectory(Options options);

  // From the target itself. False where a newer one is previous.
  bool OnReport(const TargetReport& report, TimePoint now);

  // From another host; the same.
  bool OnRelayedReport(const RelayedReport& relayed, TimePoint now);

  // Up to `most` reports for the next heartbeat, the urgent ones first. Those
  // had from a target itself are passed on once; news of a state, from
  // wherever, some times more.
  std::vector<RelayedReport> TakePendingReports(std::size_t max_reports,
                                                TimePoint now);

  // The service's targets. One that may get no new work is among them, marked.
  std::vector<TargetCandidate> Candidates(const FrontId& front,
                                          const ServiceId& service,
                                          TimePoint now) const;

  // The latest report, or null; valid until the next call of this class.
  const TargetReport* Find(const TargetId& target) const;

  // Targets of that zone which are not stale, for its leases.
  std::vector<TargetReport> LiveTargets(const ZoneId& zone,
                                        TimePoint now) const;

 private:
  struct Entry {
    TargetReport report;
    TimePoint received_at{};
    uint32_t sends_left = 0;
    bool urgent = false;
  };
  using ServiceKey = std::pair<FrontId, ServiceId>;

  bool Accept(const TargetReport& report,
              TimePoint received_at,
              bool from_target,
              TimePoint now);
  void RemoveExpired(TimePoint now);
  bool IsStale(const Entry& entry, TimePoint now) const;

  Options options;
  std::map<TargetId, Entry> entries;
  std::map<ServiceKey, std::set<TargetId>> by_service;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_TARGET_DIRECTORY_H_
