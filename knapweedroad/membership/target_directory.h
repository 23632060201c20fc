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

// Stores the latest report of each target that has reported to any host.
//
//   TargetDirectory directory({.is_zone_out_of_service = is_out});
//   if (!directory.OnReport(report, now)) return Conflict();
//   heartbeat.reports = directory.TakePendingReports(kMaxReports, now);
//   auto candidates = directory.Candidates(front, service, now);
//
// Reports of a target are ordered by its incarnation and sequence number,
// whether they come from the target or from another host. A relayed report
// carries its age, so all hosts detect a dead target at the same time, however
// often they relay its last report to each other.
class TargetDirectory {
 public:
  struct Options {
    // Returns whether operators have taken the zone out of service. May be
    // empty; then all zones are in service.
    std::function<bool(const ZoneId&)> is_zone_out_of_service;
    // A target is unusable if its latest report is at least this old.
    Duration stale_after = std::chrono::seconds(5);
    // A target is removed, with its incarnation and sequence number, once its
    // latest report is at least this old.
    Duration expire_after = std::chrono::minutes(2);
    // The number of times to relay a report whose target has become cold or
    // leaving, or starts a new incarnation in one of these states. It may be
    // the target's last report, so the loss of single datagrams must not hide
    // it.
    uint32_t urgent_send_count = 5;
  };

  explicit TargetDirectory(Options options);

  // Records a report received from the target itself. Returns false, and
  // ignores the report, unless it is newer than the recorded one.
  bool OnReport(const TargetReport& report, TimePoint now);

  // Records a report relayed by another host. Returns false, and ignores the
  // report, unless it is newer than the recorded one and younger than
  // `expire_after`.
  bool OnRelayedReport(const RelayedReport& relayed, TimePoint now);

  // Returns up to `max_reports` reports to relay in the next heartbeat, urgent
  // ones first, and counts each as sent once. A report received from a target
  // itself is relayed once. An urgent report, from a target or a host, is
  // relayed `urgent_send_count` times.
  std::vector<RelayedReport> TakePendingReports(std::size_t max_reports,
                                                TimePoint now);

  // Returns all targets of the service. Those that must not receive new
  // requests are included, with `usable` set to false: their report is stale,
  // their zone is out of service, or they are leaving.
  std::vector<TargetCandidate> Candidates(const FrontId& front,
                                          const ServiceId& service,
                                          TimePoint now) const;

  // Returns the target's latest report, or null if there is none. The pointer
  // is valid until the next call to OnReport() or OnRelayedReport().
  const TargetReport* Find(const TargetId& target) const;

  // Returns the latest reports of the zone's targets, without stale ones. The
  // zone grants leases on these targets.
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
