#include "knapweedroad/host/target_link.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/target_exchange.h"
#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"

namespace knapweedroad {
namespace {

// How long a target has to answer a cancellation.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(200);

AttemptKind KindOf(uint8_t purpose) {
  constexpr uint8_t kRetryPurpose = 1;
  constexpr uint8_t kHedgePurpose = 2;
  if (purpose == kHedgePurpose) {
    return AttemptKind::kHedge;
  }
  return purpose == kRetryPurpose ? AttemptKind::kRetry
                                  : AttemptKind::kFirstTry;
}

AttemptEnd EndOf(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kTargetLeaving:
    case RefusalKind::kNotAccepting:
      return AttemptEnd::kLeaving;
    case RefusalKind::kNoLease:
      return AttemptEnd::kNotHolder;
    default:
      return AttemptEnd::kRefused;
  }
}

// An attempt between its submission and its end.
struct Waiting {
  FiberEvent decided;
  bool is_started = false;
  bool is_cancelled = false;
  TimePoint deadline;
  AttemptReply refusal;
};

}  // namespace

struct TargetLink::State : std::enable_shared_from_this<TargetLink::State> {
  State(Runtime& runtime, const TargetLinkOptions& options)
      : runtime(runtime),
        options(options),
        admission(options.admission),
        client(runtime,
               {.endpoint = options.endpoint,
                .max_connections = this->admission.ConnectionLimit()}),
        wake(runtime) {}

  void Perform(const AdmissionActions& actions);
  void Do(const StartAttempt& start);
  void Do(const RefuseAttempt& refuse);
  void Do(const CancelRunning& cancel);
  void TimerLoop();
  AttemptReply Send(const AttemptCall& call, TimePoint deadline);
  void TellCancelled(const AttemptId& attempt);

  Runtime& runtime;
  TargetLinkOptions options;
  TargetAdmission admission;
  HttpClient client;
  TimedEvent wake;
  std::map<std::string, Waiting*, std::less<>> waiting;
  bool is_over = false;
};

void TargetLink::State::Perform(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    std::visit([this](const auto& each) { this->Do(each); }, action);
  }
  this->wake.Set();
}

void TargetLink::State::Do(const StartAttempt& start) {
  const auto found = this->waiting.find(start.attempt);
  if (found != this->waiting.end()) {
    found->second->is_started = true;
    found->second->deadline = start.deadline;
    found->second->decided.Set();
  }
}

void TargetLink::State::Do(const RefuseAttempt& refuse) {
  const auto found = this->waiting.find(refuse.attempt);
  if (found != this->waiting.end()) {
    found->second->refusal = {
        .end = EndOf(refuse.kind),
        .outcome = RunOutcome::kNotRun,
        .retry_after_ns = static_cast<uint64_t>(refuse.retry_after.count())};
    found->second->decided.Set();
  }
}

void TargetLink::State::Do(const CancelRunning& cancel) {
  this->runtime.Spawn(
      [self = this->shared_from_this(), attempt = AttemptId(cancel.attempt)] {
        self->TellCancelled(attempt);
      });
}

void TargetLink::State::TimerLoop() {
  while (!this->is_over) {
    if (!this->wake.WaitUntil(this->admission.NextWake())) {
      const AdmissionActions actions = this->admission.Tick(Runtime::Now());
      for (const AdmissionAction& action : actions) {
        std::visit([this](const auto& each) { this->Do(each); }, action);
      }
    }
  }
}

// The target answers the attempt itself once it has cancelled it, so the slot
// is given back by that answer and not by this one.
void TargetLink::State::TellCancelled(const AttemptId& attempt) {
  static_cast<void>(this->client.Send(CancelRequest(attempt),
                                      Runtime::Now() + kCancelTimeout));
}

AttemptReply TargetLink::State::Send(const AttemptCall& call,
                                     TimePoint deadline) {
  TimePoint sent = Runtime::Now();
  // The lease may have run out since the decision, while the process stood
  // still or waited for a connection, and the next holder may send. Asked right
  // before the write, the check leaves only the write itself. The time left is
  // told as of then, too: a target that was told more would work past the
  // moment at which its slot is taken for free.
  HttpSendOptions options{.before_write = [&](HttpRequest& request) {
    sent = Runtime::Now();
    request = TargetRequest(call, deadline - sent);
    return sent < deadline && this->admission.MaySend(call.attempt.str(), sent);
  }};
  auto response = this->client.Send({}, deadline, options);
  if (!response && MayRepeat(response.error())) {
    this->client.DropIdle();
    options.fresh_connection = true;
    response = this->client.Send({}, deadline, options);
  }
  const TimePoint now = Runtime::Now();
  ExchangeEnd end =
      response ? ReadTargetAnswer(call, std::move(*response), now - sent)
               : ReadTargetFailure(response.error());
  if (!response && response.error().kind == NetErrorKind::kTimeout &&
      response.error().reused_connection) {
    // The connections that idle beside it may be as silent.
    this->client.DropIdle();
  }
  if (LogLine::TraceIsOn()) {
    LogLine("attempt_at_target")
        .Add("request_id", call.request_id)
        .Add("attempt", call.attempt)
        .Add("target", call.target)
        .Add("status", end.reply.status)
        .Add("outcome", ToString(end.reply.outcome))
        .Trace();
  }
  this->Perform(
      this->admission.OnFinished(call.attempt.str(), end.result, now));
  return std::move(end.reply);
}

TargetLink::TargetLink(Runtime& runtime, const TargetLinkOptions& options)
    : state(std::make_shared<State>(runtime, options)) {
  runtime.Spawn([state = this->state] { state->TimerLoop(); });
}

TargetLink::~TargetLink() {
  this->state->is_over = true;
  this->state->Perform(
      this->state->admission.SetAcceptingNew(false, Runtime::Now()));
}

AttemptReply TargetLink::Run(const AttemptCall& call, TimePoint deadline) {
  const std::shared_ptr<State> self = this->state;
  Waiting waiting;
  if (!self->waiting.emplace(call.attempt.str(), &waiting).second) {
    return {.end = AttemptEnd::kBroken, .outcome = RunOutcome::kUnknown};
  }
  self->Perform(self->admission.Submit({.attempt = call.attempt.str(),
                                        .tenant = call.tenant,
                                        .request_class = call.request_class,
                                        .tenant_weight = call.tenant_weight,
                                        .class_weight = call.class_weight,
                                        .front = call.front,
                                        .deadline = deadline,
                                        .kind = KindOf(call.purpose)},
                                       Runtime::Now()));
  waiting.decided.Wait();
  self->waiting.erase(call.attempt.str());
  if (waiting.is_cancelled) {
    return {.end = AttemptEnd::kCancelled, .outcome = RunOutcome::kNotRun};
  }
  if (!waiting.is_started) {
    return waiting.refusal;
  }
  return self->Send(call, waiting.deadline);
}

void TargetLink::Cancel(const AttemptId& attempt) {
  const auto found = this->state->waiting.find(attempt.str());
  if (found != this->state->waiting.end() && !found->second->is_started) {
    found->second->is_cancelled = true;
    found->second->decided.Set();
  }
  this->state->Perform(
      this->state->admission.Cancel(attempt.str(), Runtime::Now()));
}

void TargetLink::OnReport(const TargetReport& report) {
  this->state->Perform(this->state->admission.OnReport(report, Runtime::Now()));
}

void TargetLink::SetShare(const TargetShare& share) {
  const AdmissionActions actions =
      this->state->admission.SetShare(share, Runtime::Now());
  this->state->client.SetMaxConnections(
      this->state->admission.ConnectionLimit());
  this->state->Perform(actions);
}

void TargetLink::SetAcceptingNew(bool accepting) {
  this->state->Perform(
      this->state->admission.SetAcceptingNew(accepting, Runtime::Now()));
}

void TargetLink::SetOptions(const TargetAdmission::Options& options) {
  const AdmissionActions actions =
      this->state->admission.SetOptions(options, Runtime::Now());
  this->state->client.SetMaxConnections(
      this->state->admission.ConnectionLimit());
  this->state->Perform(actions);
}

const TargetAdmission& TargetLink::admission() const {
  return this->state->admission;
}

}  // namespace knapweedroad
