#include "knapweedroad/routing/outcome_recorder.h"

#include <cstddef>

namespace knapweedroad {
namespace {

// A report's size: about 1 KB packed. With two control hosts in the own zone
// and a call a second that is 2 of the 3 KB/s that a host may spend on control.
constexpr size_t kMostReported = 64;
// A target asked more often than this between two reports is left out: the host
// knows enough by itself, and so does every other one of its load.
constexpr uint32_t kEnoughAlone = 50;
// Nothing is kept for a control host that hasn't asked for this long; longer
// than a call is held. Old outcomes mislead.
constexpr Duration kKeepFor = std::chrono::milliseconds(2500);

}  // namespace

void OutcomeRecorder::Count(const TargetOutcomes& seen) {
  for (auto& [host, pending] : this->pending) {
    TargetOutcomes& sum = pending.targets[seen.target];
    sum.target = seen.target;
    sum.answered += seen.answered;
    sum.failed += seen.failed;
    sum.timed += seen.timed;
    sum.latency_us += seen.latency_us;
  }
}

std::vector<TargetOutcomes> OutcomeRecorder::Take(const HostId& control_host,
                                                  TimePoint now) {
  std::erase_if(this->pending, [&](const auto& entry) {
    return now - entry.second.taken > kKeepFor;
  });
  Pending& own = this->pending[control_host];
  own.taken = now;
  std::vector<TargetOutcomes> report;
  for (auto at = own.targets.begin();
       at != own.targets.end() && report.size() < kMostReported;) {
    if (at->second.answered + at->second.failed <= kEnoughAlone) {
      report.push_back(std::move(at->second));
    }
    at = own.targets.erase(at);
  }
  return report;
}

}  // namespace knapweedroad
