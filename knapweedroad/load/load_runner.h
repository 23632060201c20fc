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
  // A part of all request ids and idempotency keys; makes them unique among
  // runs.
  std::string run;
  // The hosts' caller addresses, used in round-robin order. Must not be empty.
  std::vector<Endpoint> callers;
  // The hosts' operator addresses; required for zone changes.
  std::vector<Endpoint> operators;
  // The stand-in searchers' control addresses. If empty, the report has no
  // counts from targets.
  std::vector<Endpoint> controls;
  // Ends the cold starts of all targets before the run.
  bool warm_up_targets = false;
};

class LoadRunner {
 public:
  LoadRunner(Runtime& runtime, LoadRunOptions options);
  ~LoadRunner();

  // Runs the plan and blocks the calling fiber until every call has ended, or
  // for at most 30 s after the last send. Clears all faults and the targets'
  // counts before the run.
  LoadReport Run();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_RUNNER_H_
