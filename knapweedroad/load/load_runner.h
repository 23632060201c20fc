// Runs a plan against a deployment.
//
//   LoadRunner runner(runtime, {.plan = *plan, .run = "r1", .callers = ...});
//   LoadReport report = runner.Run();

#ifndef KNAPWEEDROAD_LOAD_LOAD_RUNNER_H_
#define KNAPWEEDROAD_LOAD_LOAD_RUNNER_H_

#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/load/load_plan.h"
#include "knapweedroad/load/load_report.h"

namespace knapweedroad {

class Runtime;

struct LoadRunOptions {
  LoadPlan plan;
  // Makes request ids and keys unique among runs.
  std::string run;
  // The hosts' caller addresses, used in turn; at least one.
  std::vector<Endpoint> callers;
  // The hosts' operator addresses; needed for zone changes.
  std::vector<Endpoint> operators;
  // The stand-in searchers' control addresses; without them nothing is known
  // of the targets' side.
  std::vector<Endpoint> controls;
  // Ends the cold starts of all targets before the run.
  bool warm_up_targets = false;
};

class LoadRunner {
 public:
  LoadRunner(Runtime& runtime, LoadRunOptions options);
  ~LoadRunner();

  // Blocks the calling fiber for the plan's duration and until every call has
  // ended. Heals all targets and resets their counts before it starts.
  LoadReport Run();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_RUNNER_H_
