#include "knapweedroad/load/load_runner.h"

#include <utility>

#include "knapweedroad/load/caller.h"
#include "knapweedroad/load/load_report_builder.h"
#include "knapweedroad/load/open_loop.h"
#include "knapweedroad/load/target_controls.h"
#include "knapweedroad/load/timeline_runner.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/history_checker.h"

namespace knapweedroad {
namespace {

// Maximum wait after the last send for unanswered calls and unfinished events.
constexpr Duration kMaxWaitAfterLastSend = std::chrono::seconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
// Wait between the last answer and reading the counts, because targets may
// still execute work of ended calls.
constexpr Duration kTargetDrainTime = std::chrono::milliseconds(500);

bool IsOutcomeUnknown(const CallRecord& call) {
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
        report_builder(this->options.plan),
        checker(this->options.plan.fronts),
        caller(runtime, this->options.callers),
        controls(runtime, this->options.controls),
        timeline(runtime, this->options, this->controls) {}

  void SendAll();
  void RunCall(PlannedCall planned);
  void WaitForOutstandingCalls();
  LoadReport MakeReport();

  Runtime& runtime;
  LoadRunOptions options;
  OpenLoop loop;
  LoadReportBuilder report_builder;
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
    this->caller.Send(call, due_at, planned.cancel_after);
    this->checker.Check(call);
    const bool should_resend = call.kind == CallKind::kLookup &&
                               IsOutcomeUnknown(call) &&
                               resends < this->options.plan.resends;
    if (!should_resend) {
      break;
    }
    ++resends;
    call.is_first_send = false;
    call.request_id = first_id + "-resend" + std::to_string(resends);
  }
  this->report_builder.Add(call, planned.at);
  this->loop.OnEnded();
}

void LoadRunner::State::WaitForOutstandingCalls() {
  const TimePoint last = Runtime::Now() + kMaxWaitAfterLastSend;
  while (Runtime::Now() < last &&
         (this->loop.outstanding() > 0 || !this->timeline.done())) {
    Runtime::SleepFor(kPollInterval);
  }
  Runtime::SleepFor(kTargetDrainTime);
}

LoadReport LoadRunner::State::MakeReport() {
  this->checker.CheckExecutions(this->controls.Executions(
      this->checker.not_run_requests(), this->checker.keys()));
  LoadReport report = this->report_builder.Report();
  report.run = this->options.run;
  report.targets = SumTargets(this->controls.Counts(),
                              this->report_builder.min_sub_requests());
  report.answers_checked = this->checker.checked();
  for (const auto& [kind, count] : this->checker.totals()) {
    report.violations[std::string(ToString(kind))] = count;
  }
  for (const BrokenPromise& broken : this->checker.broken()) {
    report.first_violations.push_back(std::string(ToString(broken.kind)) +
                                      ": " + broken.request_id + ": " +
                                      broken.detail);
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
  State& run_state = *this->state;
  run_state.controls.Discover();
  run_state.timeline.ResetDeployment();
  run_state.start = Runtime::Now();
  run_state.timeline.Start(run_state.start);
  run_state.SendAll();
  run_state.WaitForOutstandingCalls();
  LoadReport report = run_state.MakeReport();
  run_state.timeline.ResetDeployment();
  return report;
}

}  // namespace knapweedroad
