#include "knapweedroad/load/load_runner.h"

#include <utility>

#include "knapweedroad/load/caller.h"
#include "knapweedroad/load/load_tally.h"
#include "knapweedroad/load/open_loop.h"
#include "knapweedroad/load/target_controls.h"
#include "knapweedroad/load/timeline_runner.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/history_checker.h"

namespace knapweedroad {
namespace {

// For calls that are still unanswered, or events still under way, after the
// last send.
constexpr Duration kLongestEnd = std::chrono::seconds(30);
constexpr Duration kPoll = std::chrono::milliseconds(10);
// Between the last answer and the counts: work that nobody waits for any more
// may still run on the targets.
constexpr Duration kSettle = std::chrono::milliseconds(500);

bool HasNoCertainOutcome(const CallRecord& call) {
  if (call.status == 0) {
    return call.failure != "left";
  }
  return FindHeader(call.headers, "Knapweed-Outcome") == "unknown";
}

}  // namespace

struct LoadRunner::State : std::enable_shared_from_this<State> {
  State(Runtime& runtime, LoadRunOptions options)
      : runtime(runtime),
        options(std::move(options)),
        loop(this->options.plan, this->options.run),
        tally(this->options.plan),
        checker(this->options.plan.fronts),
        caller(runtime, this->options.callers),
        controls(runtime, this->options.controls),
        timeline(runtime, this->options, this->controls) {}

  void SendAll();
  void RunCall(PlannedCall planned);
  void WaitForTheRest();
  LoadReport MakeReport();

  Runtime& runtime;
  LoadRunOptions options;
  OpenLoop loop;
  LoadTally tally;
  HistoryChecker checker;
  Caller caller;
  TargetControls controls;
  TimelineRunner timeline;
  TimePoint start;
};

void LoadRunner::State::SendAll() {
  while (const auto next = this->loop.next_at()) {
    Runtime::SleepUntil(this->start + *next);
    for (PlannedCall& planned : this->loop.Due(Runtime::Now() - this->start)) {
      this->runtime.Spawn(
          [self = this->shared_from_this(), planned = std::move(planned)] {
            self->RunCall(planned);
          });
    }
  }
}

void LoadRunner::State::RunCall(PlannedCall planned) {
  CallRecord& call = planned.call;
  const std::string first_id = call.request_id;
  const TimePoint due_at = this->start + planned.at;
  uint32_t resends = 0;
  while (true) {
    this->caller.Send(call, due_at, planned.leaves_after);
    this->checker.Check(call);
    const bool goes_on = call.kind == CallKind::kLookup &&
                         HasNoCertainOutcome(call) &&
                         resends < this->options.plan.resends;
    if (!goes_on) {
      break;
    }
    ++resends;
    call.is_first_send = false;
    call.request_id = first_id + "-resend" + std::to_string(resends);
  }
  this->tally.Add(call, planned.at);
  this->loop.OnEnded();
}

void LoadRunner::State::WaitForTheRest() {
  const TimePoint last = Runtime::Now() + kLongestEnd;
  while (Runtime::Now() < last &&
         (this->loop.outstanding() > 0 || !this->timeline.done())) {
    Runtime::SleepFor(kPoll);
  }
  Runtime::SleepFor(kSettle);
}

LoadReport LoadRunner::State::MakeReport() {
  this->checker.CheckExecutions(this->controls.Executions(
      this->checker.not_run_requests(), this->checker.keys()));
  LoadReport report = this->tally.Report();
  report.run = this->options.run;
  report.targets =
      SumTargets(this->controls.Counts(), this->tally.least_needed());
  report.answers_checked = this->checker.checked();
  for (const auto& [kind, count] : this->checker.totals()) {
    report.broken[std::string(ToString(kind))] = count;
  }
  for (const BrokenPromise& broken : this->checker.broken()) {
    report.first_broken.push_back(std::string(ToString(broken.kind)) + ": " +
                                  broken.request_id + ": " + broken.detail);
  }
  const std::chrono::duration<double, std::milli> lag = this->loop.worst_lag();
  report.generator = {.skipped = this->loop.skipped(),
                      .worst_lag_ms = lag.count(),
                      .peak_outstanding = this->loop.peak_outstanding(),
                      .timeline_failures = this->timeline.failures()};
  report.generator.timeline_failures.insert(
      report.generator.timeline_failures.end(),
      this->controls.failures().begin(), this->controls.failures().end());
  return report;
}

LoadRunner::LoadRunner(Runtime& runtime, LoadRunOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

LoadRunner::~LoadRunner() = default;

LoadReport LoadRunner::Run() {
  State& own = *this->state;
  own.controls.Discover();
  own.timeline.Heal();
  own.start = Runtime::Now();
  own.timeline.Start(own.start);
  own.SendAll();
  own.WaitForTheRest();
  LoadReport report = own.MakeReport();
  own.timeline.Heal();
  return report;
}

}  // namespace knapweedroad
