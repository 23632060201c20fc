#include "knapweedroad/registry/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace knapweedroad {
namespace {

// Outcomes count half after this: a report is up to a second old when it
// comes, and a target that has changed should show within the next one.
constexpr Duration kHalfLife = std::chrono::milliseconds(800);
// The same for a listed target, of which few outcomes come.
constexpr Duration kListedHalfLife = std::chrono::seconds(4);
// A judgement needs so many attempts: fewer tell of chance. Latencies scatter
// by half, so the mean of fewer is known badly.
constexpr double kLeastAttempts = 6;
// A listed target that does well in so many is believed: all hosts try it then,
// and if that was chance, it is back on the list within a second.
constexpr double kLeastListedAttempts = 3;
// A share below this is left to each host's own retries: answers lost now and
// then are spread over many targets, and all of them would be listed.
constexpr double kLeastFailedShare = 0.12;
// Sound targets of a service differ in speed by up to 1.6 times.
constexpr double kLeastSlowdown = 2.2;
constexpr double kMostSlowdown = 20;
// Hardly anything is sent to a listed target, so it keeps its place without
// new outcomes, and is tried by everybody again after this.
constexpr Duration kListedMemory = std::chrono::seconds(12);
constexpr Duration kForgetAfter = std::chrono::seconds(30);
constexpr size_t kMostTargets = 20'000;
// Bounds the reply to a follower: about 5 KB before packing.
constexpr size_t kMostListed = 256;

// A service's best latency counts this much less a second: it is soon forgotten
// where all of its targets have more to do.
constexpr double kBestGrowthPerSecond = 1.07;

// A control host of another zone replies several times a second; without it for
// this long its list is dropped.
constexpr Duration kOthersMemory = std::chrono::seconds(4);
// What this zone has judged itself within this goes before other zones' lists.
constexpr Duration kOwnJudgement = std::chrono::seconds(2);

int Badness(const TargetOutlier& outlier) {
  return int{outlier.failed} * int{TargetOutlier::kFailedUnits} +
         int{outlier.slowdown};
}

void SortAndBound(std::vector<TargetOutlier>& list) {
  std::ranges::sort(list,
                    [](const TargetOutlier& left, const TargetOutlier& right) {
                      return std::pair(-Badness(left), left.target) <
                             std::pair(-Badness(right), right.target);
                    });
  list.resize(std::min(list.size(), kMostListed));
}

}  // namespace

void OutlierDetector::Fade(Entry& entry, TimePoint now) {
  const auto age = static_cast<double>((now - entry.faded).count());
  const Duration half_life = entry.is_listed() ? kListedHalfLife : kHalfLife;
  const double kept = std::exp2(-age / static_cast<double>(half_life.count()));
  entry.answered *= kept;
  entry.failed *= kept;
  entry.timed *= kept;
  entry.latency_us *= kept;
  entry.faded = now;
}

void OutlierDetector::Add(std::span<const TargetOutcomes> report,
                          TimePoint now) {
  for (const TargetOutcomes& seen : report) {
    const auto found = this->targets.find(seen.target);
    if (found == this->targets.end() && this->targets.size() >= kMostTargets) {
      continue;
    }
    Entry& entry = this->targets[seen.target];
    Fade(entry, now);
    entry.heard = now;
    entry.answered += seen.answered;
    entry.failed += seen.failed;
    entry.timed += seen.timed;
    entry.latency_us += static_cast<double>(seen.latency_us);
  }
}

void OutlierDetector::Judge(Entry& entry,
                            double best_latency_us,
                            TimePoint now) {
  const double attempts = entry.answered + entry.failed;
  const double least =
      entry.is_listed() ? kLeastListedAttempts : kLeastAttempts;
  if (attempts < least) {
    if (now - entry.judged > kListedMemory) {
      entry.outlier.failed = 0;
      entry.outlier.slowdown = 1;
    }
    return;
  }
  entry.judged = now;
  const double share = entry.failed / attempts;
  entry.outlier.failed = 0;
  if (share >= kLeastFailedShare) {
    const double units = std::ceil(share * TargetOutlier::kFailedUnits);
    entry.outlier.failed = static_cast<uint8_t>(units);
  }
  const double slowdown =
      entry.timed < least || best_latency_us <= 0
          ? 1
          : entry.latency_us / entry.timed / best_latency_us;
  entry.outlier.slowdown = 1;
  if (slowdown >= kLeastSlowdown) {
    entry.outlier.slowdown =
        static_cast<uint8_t>(std::lround(std::min(slowdown, kMostSlowdown)));
  }
}

// A target that gets nearly all of a service's requests can't be compared with
// the others now, so it is compared with what the service's targets did before,
// too.
void OutlierDetector::RememberBest(const ServiceId& service,
                                   double latency_us,
                                   TimePoint now) {
  BestLatency& known = this->best[service];
  const double age = std::chrono::duration<double>(now - known.at).count();
  const double remembered = known.us * std::pow(kBestGrowthPerSecond, age);
  if (known.us <= 0 || latency_us < remembered) {
    known = {.us = latency_us, .at = now};
  }
}

bool OutlierDetector::Refresh(const ServiceOf& service_of, TimePoint now) {
  std::map<TargetId, ServiceId> services;
  for (auto at = this->targets.begin(); at != this->targets.end();) {
    Entry& entry = at->second;
    const ServiceId service = service_of(at->first);
    if (service.empty() || now - entry.heard > kForgetAfter) {
      at = this->targets.erase(at);
      continue;
    }
    Fade(entry, now);
    services.emplace(at->first, service);
    // A target that refuses much of its work answers the rest fast and is no
    // measure for those that do the work.
    const double attempts = entry.answered + entry.failed;
    const bool is_sound = entry.failed < kLeastFailedShare * attempts;
    if (is_sound && entry.timed >= kLeastAttempts) {
      this->RememberBest(service, entry.latency_us / entry.timed, now);
    }
    ++at;
  }
  std::vector<TargetOutlier> next;
  for (auto& [target, entry] : this->targets) {
    entry.outlier.target = target;
    const auto found = this->best.find(services.at(target));
    Judge(entry, found == this->best.end() ? 0 : found->second.us, now);
    if (entry.is_listed()) {
      next.push_back(entry.outlier);
    }
  }
  SortAndBound(next);
  if (next != this->own_listed) {
    this->own_listed = next;
    this->own_told.Set(next, ++this->own_changes);
  }
  this->AddOthers(next, now);
  SortAndBound(next);
  if (next == this->listed) {
    return false;
  }
  this->listed = std::move(next);
  this->told.Set(this->listed, ++this->changes);
  return true;
}

void OutlierDetector::LearnOthers(const HostId& control_host,
                                  std::vector<TargetOutlier> outliers,
                                  TimePoint now) {
  this->others[control_host] = {.outliers = std::move(outliers), .heard = now};
}

void OutlierDetector::HearOthers(const HostId& control_host, TimePoint now) {
  const auto found = this->others.find(control_host);
  if (found != this->others.end()) {
    found->second.heard = now;
  }
}

// Only a target's own zone asks it often enough to see soon that it is slow.
// What this zone has seen itself goes before: a target may fail for the callers
// of one zone alone.
void OutlierDetector::AddOthers(std::vector<TargetOutlier>& list,
                                TimePoint now) {
  std::erase_if(this->others, [now](const auto& entry) {
    return now - entry.second.heard > kOthersMemory;
  });
  std::map<TargetId, TargetOutlier> worst;
  for (const auto& [host, told] : this->others) {
    for (const TargetOutlier& outlier : told.outliers) {
      const auto own = this->targets.find(outlier.target);
      if (own != this->targets.end() &&
          now - own->second.judged < kOwnJudgement) {
        continue;
      }
      const auto [known, is_first] = worst.emplace(outlier.target, outlier);
      if (Badness(known->second) < Badness(outlier)) {
        known->second = outlier;
      }
    }
  }
  for (const auto& [target, outlier] : worst) {
    if (std::ranges::find(list, target, &TargetOutlier::target) == list.end()) {
      list.push_back(outlier);
    }
  }
}

std::string DescribeOutliers(std::span<const TargetOutlier> outliers) {
  constexpr size_t kMostNamed = 8;
  std::string text;
  for (const TargetOutlier& outlier :
       outliers.first(std::min(outliers.size(), kMostNamed))) {
    text += outlier.target.str() +
            "(failed_eighths:" + std::to_string(outlier.failed) +
            ",slowdown:" + std::to_string(outlier.slowdown) + ") ";
  }
  return text;
}

}  // namespace knapweedroad
