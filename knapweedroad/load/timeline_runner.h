// Does a plan's faults and zone changes at their times.

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
  // All outlive this.
  TimelineRunner(Runtime& runtime,
                 const LoadRunOptions& options,
                 TargetControls& controls);
  ~TimelineRunner();

  // Ends all lasting faults, takes in the zones that Start() took out, and
  // resets the targets' counts. Blocks the calling fiber.
  void Heal();

  // Does each event in a fiber of its own; they use this object until done().
  void Start(TimePoint run_start);
  bool done() const { return this->pending == 0; }

  const std::vector<std::string>& failures() const { return this->failed; }

 private:
  void Do(const TimelineEvent& event);
  bool ChangeZone(const ZoneId& zone, bool out);

  Runtime* runtime;
  const LoadRunOptions* options;
  TargetControls* controls;
  std::vector<std::unique_ptr<HttpClient>> operators;
  std::set<ZoneId> zones_out;
  size_t pending = 0;
  uint64_t changes = 0;
  std::vector<std::string> failed;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_TIMELINE_RUNNER_H_
