#include "knapweedroad/registry/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace knapweedroad {
namespace {

// The half-life of outcomes. A report is up to a second old when it arrives,
// and a changed target should be detected within the next second.
constexpr Duration kHalfLife = std::chrono::milliseconds(800);
// The half-life for a listed target, which receives few requests.
constexpr Duration kListedHalfLife = std::chrono::seconds(4);
// The minimum number of attempts for an evaluation; fewer are dominated by
// chance. Latencies vary by half, so the mean of fewer is inaccurate.
constexpr double kMinAttempts = 6;
// The minimum for a listed target. If it succeeds in this many attempts, all
// hosts try it again; if that was chance, it is listed again within a second.
constexpr double kMinListedAttempts = 3;
// Smaller shares are left to the retries of each host: sporadic failures are
// spread over many targets, all of which would be listed.
constexpr double kMinFailedShare = 0.12;
// Healthy targets of a service differ in latency by a factor of up to 1.6.
constexpr double kMinSlowdown = 2.2;
constexpr double kMaxSlowdown = 20;
// A listed target receives few requests, so it stays listed without new
// outcomes for this time, after which all hosts try it again.
constexpr Duration kListedRetention = std::chrono::seconds(12);
constexpr Duration kRetention = std::chrono::seconds(30);
constexpr size_t kMaxTargets = 20'000;
// Bounds the reply to a follower to about 5 KB before packing.
constexpr size_t kMaxListed = 256;

// The growth of a service's best latency per second, so that it soon expires
// when all targets of the service have a higher load.
constexpr double kBestGrowthPerSecond = 1.07;

// A control host of another zone replies several times a second. Its list is
// dropped after this time without a reply.
constexpr Duration kRemoteListTimeout = std::chrono::seconds(4);
// An evaluation by this zone takes precedence over the lists of other zones for
// this time.
constexpr Duration kOwnEvaluationWindow = std::chrono::seconds(2);

int Severity(const TargetOutlier& outlier) {
  return int{outlier.failed} * int{TargetOutlier::kFailedUnits} +
         int{outlier.slowdown};
}

void SortAndTruncate(std::vector<TargetOutlier>& list) {
  std::ranges::sort(list,
                    [](const TargetOutlier& left, const TargetOutlier& right) {
                      return std::pair(-Severity(left), left.target) <
                             std::pair(-Severity(right), right.target);
                    });
  list.resize(std::min(list.size(), kMaxListed));
}

}  // namespace

void OutlierDetector::Decay(Entry& entry, TimePoint now) {
  const auto age = static_cast<double>((now - entry.decayed_at).count());
  const Duration half_life = entry.is_listed() ? kListedHalfLife : kHalfLife;
  const double decay = std::exp2(-age / static_cast<double>(half_life.count()));
  entry.answered *= decay;
  entry.failed *= decay;
  entry.timed *= decay;
  entry.latency_us *= decay;
  entry.decayed_at = now;
}

void OutlierDetector::Add(std::span<const TargetOutcomes> report,
                          TimePoint now) {
  for (const TargetOutcomes& outcomes : report) {
    const auto found = this->targets.find(outcomes.target);
    if (found == this->targets.end() && this->targets.size() >= kMaxTargets) {
      continue;
    }
    Entry& entry = this->targets[outcomes.target];
    Decay(entry, now);
    entry.last_received = now;
    entry.answered += outcomes.answered;
    entry.failed += outcomes.failed;
    entry.timed += outcomes.timed;
    entry.latency_us += static_cast<double>(outcomes.latency_us);
  }
}

void OutlierDetector::Evaluate(Entry& entry,
                               double best_latency_us,
                               TimePoint now) {
  const double attempts = entry.answered + entry.failed;
  const double min_attempts =
      entry.is_listed() ? kMinListedAttempts : kMinAttempts;
  if (attempts < min_attempts) {
    if (now - entry.evaluated_at > kListedRetention) {
      entry.outlier.failed = 0;
      entry.outlier.slowdown = 1;
    }
    return;
  }
  entry.evaluated_at = now;
  const double share = entry.failed / attempts;
  entry.outlier.failed = 0;
  if (share >= kMinFailedShare) {
    const double units = std::ceil(share * TargetOutlier::kFailedUnits);
    entry.outlier.failed = static_cast<uint8_t>(units);
  }
  const double slowdown =
      entry.timed < min_attempts || best_latency_us <= 0
          ? 1
          : entry.latency_us / entry.timed / best_latency_us;
  entry.outlier.slowdown = 1;
  if (slowdown >= kMinSlowdown) {
    entry.outlier.slowdown =
        static_cast<uint8_t>(std::lround(std::min(slowdown, kMaxSlowdown)));
  }
}

// A target that receives nearly all requests of a service can't be compared
// with the others now, so it is also compared with the earlier latency of the
// service's targets.
void OutlierDetector::UpdateBestLatency(const ServiceId& service,
                                        double latency_us,
                                        TimePoint now) {
  BestLatency& current = this->best[service];
  const double age =
      std::chrono::duration<double>(now - current.observed_at).count();
  const double adjusted_us = current.us * std::pow(kBestGrowthPerSecond, age);
  if (current.us <= 0 || latency_us < adjusted_us) {
    current = {.us = latency_us, .observed_at = now};
  }
}

bool OutlierDetector::Refresh(const ServiceOf& service_of, TimePoint now) {
  std::map<TargetId, ServiceId> services;
  for (auto it = this->targets.begin(); it != this->targets.end();) {
    Entry& entry = it->second;
    const ServiceId service = service_of(it->first);
    if (service.empty() || now - entry.last_received > kRetention) {
      it = this->targets.erase(it);
      continue;
    }
    Decay(entry, now);
    services.emplace(it->first, service);
    // A target that refuses many requests answers the rest fast and is not a
    // baseline for targets that do the work.
    const double attempts = entry.answered + entry.failed;
    const bool is_healthy = entry.failed < kMinFailedShare * attempts;
    if (is_healthy && entry.timed >= kMinAttempts) {
      this->UpdateBestLatency(service, entry.latency_us / entry.timed, now);
    }
    ++it;
  }
  std::vector<TargetOutlier> next;
  for (auto& [target, entry] : this->targets) {
    entry.outlier.target = target;
    const auto found = this->best.find(services.at(target));
    Evaluate(entry, found == this->best.end() ? 0 : found->second.us, now);
    if (entry.is_listed()) {
      next.push_back(entry.outlier);
    }
  }
  SortAndTruncate(next);
  if (next != this->own_listed) {
    this->own_listed = next;
    this->own_published.Set(next, ++this->own_list_revision);
  }
  this->AddRemoteOutliers(next, now);
  SortAndTruncate(next);
  if (next == this->listed) {
    return false;
  }
  this->listed = std::move(next);
  this->published.Set(this->listed, ++this->list_revision);
  return true;
}

void OutlierDetector::SetRemoteOutliers(const HostId& control_host,
                                        std::vector<TargetOutlier> outliers,
                                        TimePoint now) {
  this->remote_lists[control_host] = {.outliers = std::move(outliers),
                                      .last_received = now};
}

void OutlierDetector::RefreshRemoteOutliers(const HostId& control_host,
                                            TimePoint now) {
  const auto found = this->remote_lists.find(control_host);
  if (found != this->remote_lists.end()) {
    found->second.last_received = now;
  }
}

// Only the zone of a target queries it often enough to detect soon that it is
// slow. Outcomes of this zone take precedence, since a target may fail for the
// callers of one zone only.
void OutlierDetector::AddRemoteOutliers(std::vector<TargetOutlier>& list,
                                        TimePoint now) {
  std::erase_if(this->remote_lists, [now](const auto& entry) {
    return now - entry.second.last_received > kRemoteListTimeout;
  });
  std::map<TargetId, TargetOutlier> most_severe;
  for (const auto& [host, published] : this->remote_lists) {
    for (const TargetOutlier& outlier : published.outliers) {
      const auto own = this->targets.find(outlier.target);
      if (own != this->targets.end() &&
          now - own->second.evaluated_at < kOwnEvaluationWindow) {
        continue;
      }
      const auto [current, is_first] =
          most_severe.emplace(outlier.target, outlier);
      if (Severity(current->second) < Severity(outlier)) {
        current->second = outlier;
      }
    }
  }
  for (const auto& [target, outlier] : most_severe) {
    if (std::ranges::find(list, target, &TargetOutlier::target) == list.end()) {
      list.push_back(outlier);
    }
  }
}

std::string DescribeOutliers(std::span<const TargetOutlier> outliers) {
  constexpr size_t kMaxDescribed = 8;
  std::string text;
  for (const TargetOutlier& outlier :
       outliers.first(std::min(outliers.size(), kMaxDescribed))) {
    text += outlier.target.str() +
            "(failed_eighths:" + std::to_string(outlier.failed) +
            ",slowdown:" + std::to_string(outlier.slowdown) + ") ";
  }
  return text;
}

}  // namespace knapweedroad
