// An entry host's part in roll-outs: reports to their owners what it sees, and
// follows their directives.
//
//   auto reporter = std::make_shared<RolloutReporter>(runtime, sampler, ...);
//   reporter->SetRollouts(agreed_rollouts);
//   reporter->ApplySplits();   // ten times a second: directives expire

#ifndef KNAPWEEDROAD_EDGE_ROLLOUT_REPORTER_H_
#define KNAPWEEDROAD_EDGE_ROLLOUT_REPORTER_H_

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/version_split.h"

namespace knapweedroad {

class AnswerSampler;
class PeerClient;
class Runtime;
struct RolloutRecord;

struct RolloutReporterOptions {
  // Takes how services divide their requests, whenever that may have changed.
  std::function<void(std::unordered_map<ServiceId, VersionSplit> splits)>
      on_splits;
};

class RolloutReporter : public std::enable_shared_from_this<RolloutReporter> {
 public:
  // `sampler` outlives the reporter's Stop().
  RolloutReporter(Runtime& runtime,
                  AnswerSampler& sampler,
                  RolloutReporterOptions options);

  // The agreed roll-outs, whenever they have changed.
  void SetRollouts(std::span<const RolloutRecord> rollouts);
  void ApplySplits();
  void Stop() { this->is_stopped = true; }

 private:
  void ReportTo(const HostId& owner);
  // For how long to wait for the next report.
  Duration Report(PeerClient& peer, const HostId& owner);

  Runtime& runtime;
  AnswerSampler& sampler;
  RolloutReporterOptions options;
  // Owners that a fiber reports to.
  std::set<HostId> reported_to;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ROLLOUT_REPORTER_H_
