#include "knapweedroad/registry/outcome_recorder.h"

#include <cstddef>

namespace knapweedroad {
namespace {

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
       at != own.targets.end() &&
       report.size() < this->options.most_reported;) {
    if (at->second.answered + at->second.failed <= this->options.enough_alone) {
      report.push_back(std::move(at->second));
    }
    at = own.targets.erase(at);
  }
  return report;
}

}  // namespace knapweedroad
