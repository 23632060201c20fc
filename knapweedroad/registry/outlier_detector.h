// A control host's view of how targets do, from what the entry hosts that
// follow it report, and the list of outliers among them.
//
//   OutlierDetector detector;
//   detector.Add(report, now);
//   if (detector.Refresh(service_of, now)) TellFollowers(detector.outliers());
//
// Answers the pattern of many hosts over few targets: one host asks a given
// target seldom, so a target that turns slow or refuses costs every host
// several requests before it notices. Together they ask it often and know
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
  // The service of a target; empty for one that is unknown or gone.
  using ServiceOf = std::function<ServiceId(const TargetId&)>;

  // One host's report; entries beyond the bound on targets are left out.
  void Add(std::span<const TargetOutcomes> report, TimePoint now);

  // What a control host of another zone has listed by its own zone's reports;
  // replaces what it said before.
  void SetRemoteOutliers(const HostId& control_host,
                         std::vector<TargetOutlier> outliers,
                         TimePoint now);
  // That control host has replied without news: its list still holds.
  void RefreshRemoteOutliers(const HostId& control_host, TimePoint now);

  // Makes the lists anew. True: the whole one differs from the one before.
  bool Refresh(const ServiceOf& service_of, TimePoint now);

  // As of the last Refresh(), worst first: by this zone's reports and, for
  // targets of which those say too little, by what other zones listed.
  const std::vector<TargetOutlier>& outliers() const { return this->listed; }
  // Rises with each change of the list.
  uint64_t revision() const { return this->list_revision; }
  // The same by this zone's reports alone, to be told to other zones.
  const std::vector<TargetOutlier>& own_outliers() const {
    return this->own_listed;
  }
  // What a host with that revision of a list is to hear of it.
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
  // Sums that fade.
  struct Entry {
    double answered = 0;
    double failed = 0;
    double timed = 0;
    double latency_us = 0;
    TimePoint decayed_at;
    TimePoint last_received;
    // As last listed, and when there were last attempts enough to say so.
    TargetOutlier outlier;
    TimePoint evaluated_at;

    bool is_listed() const {
      return this->outlier.failed > 0 || this->outlier.slowdown > 1;
    }
  };

  // The least latency that a service's targets were seen with lately.
  struct BestLatency {
    double us = 0;
    TimePoint observed_at;
  };

  struct RemoteList {
    std::vector<TargetOutlier> outliers;
    TimePoint last_received;
  };

  // Adds what other zones listed and this one knows too little of.
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

// "TARGET(failed_eighths:3,slowdown:1) " for the first few, for the log.
std::string DescribeOutliers(std::span<const TargetOutlier> outliers);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_OUTLIER_DETECTOR_H_
