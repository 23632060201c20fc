// Applies a plan's faults and zone changes at their planned times.

#ifndef KNAPWEEDROAD_LOAD_TIMELINE_RUNNER_H_
#define KNAPWEEDROAD_LOAD_TIMELINE_RUNNER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class HttpClient;
class Runtime;
class TargetControls;
struct LoadRunOptions;
struct TimelineEvent;

class TimelineRunner {
 public:
  // All arguments must outlive this object.
  TimelineRunner(Runtime& runtime,
                 const LoadRunOptions& options,
                 TargetControls& controls);
  ~TimelineRunner();

  // Clears all lasting faults, returns the zones that events took out of
  // service, ends all cold starts if `warm_up_targets` is set, and resets the
  // targets' counts. Blocks the calling fiber.
  void ResetDeployment();

  // Applies each event in its own fiber. This object must exist until done().
  void Start(TimePoint run_start);
  bool done() const { return this->pending_events == 0; }

  const std::vector<std::string>& failures() const {
    return this->failure_messages;
  }

 private:
  void ApplyEvent(const TimelineEvent& event);
  bool ChangeZone(const ZoneId& zone, bool out);

  Runtime* runtime;
  const LoadRunOptions* options;
  TargetControls* controls;
  std::vector<std::unique_ptr<HttpClient>> operators;
  std::set<ZoneId> zones_out_of_service;
  size_t pending_events = 0;
  uint64_t zone_change_count = 0;
  std::vector<std::string> failure_messages;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_TIMELINE_RUNNER_H_
