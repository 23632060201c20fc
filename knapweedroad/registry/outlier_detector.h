// Detects targets that perform worse than the others of their service, from the
// reports of the entry hosts that follow a control host.
//
//   OutlierDetector detector;
//   detector.Add(report, now);
//   if (detector.Refresh(service_of, now))
//   NotifyFollowers(detector.outliers());
//
// With many hosts over few targets, one host queries a given target rarely, so
// a target that slows down or refuses requests costs every host several
// requests before it is detected. The combined reports of all hosts show it
// within a second.

#ifndef KNAPWEEDROAD_REGISTRY_OUTLIER_DETECTOR_H_
#define KNAPWEEDROAD_REGISTRY_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"
#include "knapweedroad/registry/versioned_list.h"

namespace knapweedroad {

class OutlierDetector {
 public:
  // Returns the service of a target, or an empty id if the target is unknown or
  // gone.
  using ServiceOf = std::function<ServiceId(const TargetId&)>;

  // Adds one host's report. New targets beyond the maximum number are ignored.
  void Add(std::span<const TargetOutcomes> report, TimePoint now);

  // Replaces the outliers that a control host of another zone reported from the
  // outcomes of its own zone.
  void SetRemoteOutliers(const HostId& control_host,
                         std::vector<TargetOutlier> outliers,
                         TimePoint now);
  // Records a reply of that control host without changes: its list remains
  // valid.
  void RefreshRemoteOutliers(const HostId& control_host, TimePoint now);

  // Recomputes both lists. Returns true if outliers() changed.
  bool Refresh(const ServiceOf& service_of, TimePoint now);

  // The outliers as of the last Refresh(), most severe first: those from the
  // reports of this zone and, for targets with too few of these, those that
  // other zones reported.
  const std::vector<TargetOutlier>& outliers() const { return this->listed; }
  // Increases with each change of outliers().
  uint64_t revision() const { return this->list_revision; }
  // The outliers from the reports of this zone alone, which are sent to other
  // zones.
  const std::vector<TargetOutlier>& own_outliers() const {
    return this->own_listed;
  }
  // Returns the changes to outliers() or own_outliers() since the given
  // revision of that list.
  ListDelta<TargetOutlier, TargetId> DeltaSince(uint64_t revision) const {
    return this->published.DeltaSince(revision);
  }
  ListDelta<TargetOutlier, TargetId> OwnDeltaSince(
      uint64_t own_revision) const {
    return this->own_published.DeltaSince(own_revision);
  }
  uint64_t own_revision() const { return this->own_list_revision; }
  size_t size() const { return this->targets.size(); }

 private:
  // Sums that decay exponentially.
  struct Entry {
    double answered = 0;
    double failed = 0;
    double timed = 0;
    double latency_us = 0;
    TimePoint decayed_at;
    TimePoint last_received;
    // The last evaluation, and when there were last enough attempts for one.
    TargetOutlier outlier;
    TimePoint evaluated_at;

    bool is_listed() const {
      return this->outlier.failed > 0 || this->outlier.slowdown > 1;
    }
  };

  // The lowest recent mean latency of any target of a service, in microseconds.
  struct BestLatency {
    double us = 0;
    TimePoint observed_at;
  };

  struct RemoteList {
    std::vector<TargetOutlier> outliers;
    TimePoint last_received;
  };

  // Adds outliers that other zones reported and that this zone has not
  // evaluated recently.
  void AddRemoteOutliers(std::vector<TargetOutlier>& list, TimePoint now);

  static void Decay(Entry& entry, TimePoint now);
  static void Evaluate(Entry& entry, double best_latency_us, TimePoint now);
  void UpdateBestLatency(const ServiceId& service,
                         double latency_us,
                         TimePoint now);

  std::unordered_map<TargetId, Entry> targets;
  std::map<ServiceId, BestLatency> best;
  std::map<HostId, RemoteList> remote_lists;
  std::vector<TargetOutlier> own_listed;
  uint64_t own_list_revision = 0;
  VersionedList<TargetOutlier, TargetId> own_published;
  std::vector<TargetOutlier> listed;
  uint64_t list_revision = 0;
  VersionedList<TargetOutlier, TargetId> published;
};

// Returns "TARGET(failed_eighths:3,slowdown:1) " for each of the first few
// outliers, for a log line.
std::string DescribeOutliers(std::span<const TargetOutlier> outliers);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_OUTLIER_DETECTOR_H_
