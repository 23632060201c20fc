#include "knapweedroad/registry/outcome_recorder.h"

#include <cstddef>

namespace knapweedroad {
namespace {

// Outcomes for a control host are dropped after this time without a call for
// it, since old outcomes mislead. It is longer than a watch call is held open.
constexpr Duration kRetention = std::chrono::milliseconds(2500);

}  // namespace

void OutcomeRecorder::Count(const TargetOutcomes& outcomes) {
  for (auto& [host, pending] : this->pending) {
    TargetOutcomes& sum = pending.targets[outcomes.target];
    sum.target = outcomes.target;
    sum.answered += outcomes.answered;
    sum.failed += outcomes.failed;
    sum.timed += outcomes.timed;
    sum.latency_us += outcomes.latency_us;
  }
}

std::vector<TargetOutcomes> OutcomeRecorder::Take(const HostId& control_host,
                                                  TimePoint now) {
  std::erase_if(this->pending, [&](const auto& entry) {
    return now - entry.second.last_taken > kRetention;
  });
  Pending& host_pending = this->pending[control_host];
  host_pending.last_taken = now;
  std::vector<TargetOutcomes> report;
  for (auto it = host_pending.targets.begin();
       it != host_pending.targets.end() &&
       report.size() < this->options.max_reported_targets;) {
    if (it->second.answered + it->second.failed <=
        this->options.max_attempts_per_target) {
      report.push_back(std::move(it->second));
    }
    it = host_pending.targets.erase(it);
  }
  return report;
}

}  // namespace knapweedroad
