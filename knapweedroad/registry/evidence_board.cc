#include "knapweedroad/registry/evidence_board.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace knapweedroad {
namespace {

// Evidence counts half after this: a report is up to a second old when it
// comes, and a target that has changed should show within the next one.
constexpr Duration kHalfLife = std::chrono::milliseconds(800);
// The same for a listed target, of which little evidence comes.
constexpr Duration kListedHalfLife = std::chrono::seconds(4);
// A judgement needs so many attempts: fewer tell of chance. Latencies scatter
// by half, so the mean of six is known to a fifth.
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
// new evidence, and is tried by everybody again after this.
constexpr Duration kListedMemory = std::chrono::seconds(12);
constexpr Duration kForgetAfter = std::chrono::seconds(30);
constexpr size_t kMostTargets = 20'000;
// Bounds the reply to a follower: about 5 KB before packing.
constexpr size_t kMostListed = 256;

int Badness(const TargetTrouble& trouble) {
  return int{trouble.failed} * int{TargetTrouble::kFailedUnits} +
         int{trouble.slowdown};
}

}  // namespace

void EvidenceBoard::Fade(Entry& entry, TimePoint now) {
  const auto age = static_cast<double>((now - entry.faded).count());
  const Duration half_life = entry.is_listed() ? kListedHalfLife : kHalfLife;
  const double kept = std::exp2(-age / static_cast<double>(half_life.count()));
  entry.answered *= kept;
  entry.failed *= kept;
  entry.timed *= kept;
  entry.latency_us *= kept;
  entry.faded = now;
}

void EvidenceBoard::Add(std::span<const TargetEvidence> report, TimePoint now) {
  for (const TargetEvidence& seen : report) {
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

void EvidenceBoard::Judge(Entry& entry, double best_latency_us, TimePoint now) {
  const double attempts = entry.answered + entry.failed;
  const double least =
      entry.is_listed() ? kLeastListedAttempts : kLeastAttempts;
  if (attempts < least) {
    if (now - entry.judged > kListedMemory) {
      entry.trouble.failed = 0;
      entry.trouble.slowdown = 1;
    }
    return;
  }
  entry.judged = now;
  const double share = entry.failed / attempts;
  entry.trouble.failed = 0;
  if (share >= kLeastFailedShare) {
    const double units = std::ceil(share * TargetTrouble::kFailedUnits);
    entry.trouble.failed = static_cast<uint8_t>(units);
  }
  const double slowdown =
      entry.timed < least || best_latency_us <= 0
          ? 1
          : entry.latency_us / entry.timed / best_latency_us;
  entry.trouble.slowdown = 1;
  if (slowdown >= kLeastSlowdown) {
    entry.trouble.slowdown =
        static_cast<uint8_t>(std::lround(std::min(slowdown, kMostSlowdown)));
  }
}

bool EvidenceBoard::Refresh(const ServiceOf& service_of, TimePoint now) {
  std::map<ServiceId, double> best;
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
    if (entry.timed >= kLeastAttempts) {
      const double mean = entry.latency_us / entry.timed;
      const auto [known, is_first] = best.emplace(service, mean);
      known->second = std::min(known->second, mean);
    }
    ++at;
  }
  std::vector<TargetTrouble> next;
  for (auto& [target, entry] : this->targets) {
    entry.trouble.target = target;
    const auto found = best.find(services.at(target));
    Judge(entry, found == best.end() ? 0 : found->second, now);
    if (entry.is_listed()) {
      next.push_back(entry.trouble);
    }
  }
  std::ranges::sort(next,
                    [](const TargetTrouble& left, const TargetTrouble& right) {
                      return std::pair(-Badness(left), left.target) <
                             std::pair(-Badness(right), right.target);
                    });
  next.resize(std::min(next.size(), kMostListed));
  if (next == this->listed) {
    return false;
  }
  this->listed = std::move(next);
  ++this->changes;
  return true;
}

}  // namespace knapweedroad
