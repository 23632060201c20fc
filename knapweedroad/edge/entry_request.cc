#include "knapweedroad/edge/entry_request.h"

#include <algorithm>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/request_attempts.h"
#include "knapweedroad/edge/request_gathers.h"
#include "knapweedroad/edge/request_log.h"
#include "knapweedroad/edge/run_answer.h"
#include "knapweedroad/edge/run_hooks.h"
#include "knapweedroad/edge/run_plan.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/edge/unserved_services.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_tolerance.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/record_merge.h"
#include "knapweedroad/routing/request_run.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// How much longer a gathered part takes on its way.
constexpr Duration kGatherSlack = milliseconds(4);
// Part of the latency target by which a coordinator's reply may be late before
// its attempts are hedged: they are not one by one slower than others.
constexpr int kCoordinatorSlackPart = 4;
// At most one in this many parts of a coordinator's reply counts as late.
constexpr size_t kMinPartsPerLate = 3;

class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
 public:
  EntryRequest(EntryParts& parts, AdmittedRequest admitted)
      : parts(parts),
        table(std::move(admitted.table)),
        request(
            std::make_shared<const CallerRequest>(std::move(admitted.request))),
        exchange(std::move(admitted.exchange)),
        timer(parts.runtime.io()),
        route(admitted.route),
        memory(&parts.routes[this->route->name]),
        waiter_id(parts.NextToken()) {}

  void Start();

 private:
  RequestRunOptions RunOptions(const RouteConfig& route);
  // Whether the caller has most of the latency target left.
  bool IsFresh() const;
  void Do(RunStep step);
  void Send(const AttemptStart& start);
  void SendGroup(const GatherGroup& group, bool is_first);
  void OnGathered(RequestAttempts::Gathered gathered, bool is_first_reply);
  void HedgeRunning(std::span<const uint32_t> running,
                    size_t group_size,
                    TimePoint now);
  void OnReply(uint32_t attempt, TargetReply reply);
  void Conclude(uint32_t attempt, AttemptOutcome outcome, TargetReply reply);
  void Arm(TimePoint at);
  void End(RunEnd end);
  void OnCompleted(bool is_whole);
  void Finish(RunEnd end);
  // Sends the final answer; its status.
  int AnswerCaller(RunEnd& end);
  // Learns how long the host took to send the answer.
  void WatchFinish(TimePoint decided);
  RequestLogContext LogContext() const;
  void Log(const RunEnd& end, int status);
  void Abandon();
  // Answers now: the process is about to end.
  void Stop();

  EntryParts& parts;
  std::shared_ptr<const RouteTable> table;
  std::shared_ptr<const CallerRequest> request;
  std::shared_ptr<CallerExchange> exchange;
  boost::asio::steady_timer timer;
  const RouteConfig* route;
  RouteMemory* memory;
  // WaitingRequest::id.
  uint64_t waiter_id = 0;
  TimePoint deadline;
  TimePoint target_at;
  RunHooks hooks;
  std::vector<ServiceId> services;
  std::optional<RequestRun> run;
  std::shared_ptr<RequestAttempts> attempts;
  std::optional<TimePoint> armed;
  std::optional<RequestGathers> gathers;
  // The end, while records that it needs are asked for.
  std::shared_ptr<RunEnd> pending_end;
  // When hosts that gather are to tell what they have.
  Duration reply_within{};
  // How much later than others an attempt that they make is hedged.
  Duration gather_slack{};
  bool is_starting = true;
  bool is_over = false;
};

RequestRunOptions EntryRequest::RunOptions(const RouteConfig& to) {
  const size_t parts = to.is_scatter ? to.services.size() : 0;
  RequestRunOptions options =
      PlanRun(to, *this->request, *this->memory, this->parts.lead.Get(parts));
  if (to.is_scatter) {
    for (const WeightedService& part : to.services) {
      options.services.push_back(part.service);
    }
  } else {
    options.services.push_back(this->parts.rotation.Next(to));
  }
  if (this->parts.leaving) {
    options.deadline =
        std::min(options.deadline, this->parts.leaving->answer_by());
  }
  this->target_at = options.latency_target_at;
  this->deadline = options.deadline;
  return options;
}

bool EntryRequest::IsFresh() const {
  const Duration left = this->target_at - Runtime::Now();
  return left * 2 >= this->route->latency_target;
}

void EntryRequest::Start() {
  const TimePoint now = Runtime::Now();
  RequestRunOptions options = this->RunOptions(*this->route);
  this->services = options.services;
  this->reply_within = GatherWithin(*this->route, *this->memory);
  this->gathers.emplace(RequestGathersOptions{.parts = this->parts,
                                              .route = *this->route,
                                              .memory = *this->memory,
                                              .request = *this->request,
                                              .services = this->services},
                        now);
  if (this->gathers->uses_coordinators()) {
    this->reply_within =
        CoordinatorReplyTime(this->reply_within, this->target_at - now);
    this->gather_slack = this->route->latency_target / kCoordinatorSlackPart;
  }
  this->gather_slack +=
      std::max(Duration::zero(), this->reply_within - options.hedge_delay) +
      kGatherSlack;
  for (const ServiceId& service : options.services) {
    this->parts.BudgetOf(service).OnRequest(now);
  }
  this->hooks = MakeRunHooks({.parts = this->parts,
                              .gathers = *this->gathers,
                              .services = this->services,
                              .waiter = {.id = this->waiter_id,
                                         .priority = this->request->priority,
                                         .account = this->request->account,
                                         .deadline = this->deadline},
                              .is_fresh = this->IsFresh()});
  this->attempts = std::make_shared<RequestAttempts>(
      RequestAttemptsOptions{.parts = this->parts,
                             .request = this->request,
                             .route = *this->route,
                             .route_name = this->route->name,
                             .memory = *this->memory,
                             .deadline = this->deadline});
  this->hooks.check_send = [attempts = this->attempts.get()](
                               const ServiceId& service, size_t unsent) {
    return attempts->CheckSend(service, unsent);
  };
  this->run.emplace(std::move(options), this->hooks);
  this->exchange->on_abandoned = [self = this->shared_from_this()] {
    self->Abandon();
  };
  this->exchange->on_stopped = [self = this->shared_from_this()] {
    self->Stop();
  };
  this->Do(this->run->Start(now));
}

void EntryRequest::Send(const AttemptStart& start) {
  this->attempts->Send(start, [self = this->shared_from_this(),
                               number = start.attempt](TargetReply reply) {
    self->OnReply(number, std::move(reply));
  });
}

// The first ones wait for each other for a while; a later one is waited for by
// itself.
void EntryRequest::SendGroup(const GatherGroup& group, bool is_first) {
  for (const AttemptStart& start : group.starts) {
    this->run->DelayHedge(start.attempt, this->gather_slack);
  }
  this->attempts->SendThrough(
      group.relay, group.starts,
      is_first ? this->reply_within : this->deadline - Runtime::Now(),
      [self = this->shared_from_this(),
       is_first_reply = true](RequestAttempts::Gathered gathered) mutable {
        self->OnGathered(std::move(gathered),
                         std::exchange(is_first_reply, false));
      });
  this->parts.metrics.CountGather(group.starts.size());
}

void EntryRequest::OnGathered(RequestAttempts::Gathered gathered,
                              bool is_first_reply) {
  const TimePoint now = Runtime::Now();
  std::vector<MergedAnswer> merged;
  std::vector<RequestAttempts::Gathered::Part> others;
  for (auto& part : gathered.parts) {
    const AttemptOutcome outcome =
        this->attempts->Take(part.attempt, part.reply, now);
    if (outcome == AttemptOutcome::kAnswer) {
      merged.push_back(
          {.attempt = part.attempt, .seal = std::move(part.reply.answer.seal)});
    } else {
      part.outcome = outcome;
      others.push_back(std::move(part));
    }
  }
  if (!merged.empty()) {
    this->Do(this->run->OnMergedAnswers(
        merged,
        {.records = std::move(gathered.records),
         .withheld_id = this->gathers->Hold(std::move(gathered.held))},
        now));
  }
  for (auto& part : others) {
    this->Conclude(part.attempt, part.outcome, std::move(part.reply));
  }
  if (is_first_reply && this->gathers->uses_coordinators() && !this->is_over) {
    this->HedgeRunning(gathered.running, gathered.attempt_count, now);
  }
  for (const uint32_t attempt : gathered.lost) {
    this->attempts->TakeLost(attempt, now);
    this->Do(
        this->run->OnAttemptFailed(attempt, AttemptFailure::kMayHaveRun, now));
  }
  for (const AttemptStart& start : gathered.not_tried) {
    if (this->is_over) {
      this->attempts->TakeLost(start.attempt, now);
      continue;
    }
    this->attempts->SendUntried(
        start,
        [self = this->shared_from_this(), number = start.attempt](
            TargetReply reply) { self->OnReply(number, std::move(reply)); });
  }
}

// A coordinator replies when the answers usually are there, so those that are
// not there yet are late. If that goes for many of them, the coordinator is
// slow, and many calls to another one would be slower.
void EntryRequest::HedgeRunning(std::span<const uint32_t> running,
                                size_t group_size,
                                TimePoint now) {
  if (running.empty() || running.size() * kMinPartsPerLate > group_size) {
    return;
  }
  for (const uint32_t attempt : running) {
    this->run->ExpediteHedge(attempt, now);
  }
  this->Do(this->run->OnWake(now));
}

void EntryRequest::Do(RunStep step) {
  const bool is_first = std::exchange(this->is_starting, false);
  for (const GatherGroup& group : this->gathers->Split(
           step.starts, /*may_merge=*/is_first, Runtime::Now())) {
    this->SendGroup(group, is_first);
  }
  for (const AttemptStart& start : step.starts) {
    this->Send(start);
  }
  if (step.end) {
    this->End(*std::move(step.end));
  } else if (step.wake_at) {
    this->Arm(*step.wake_at);
  }
}

// The timer is only moved forward; one that fires early asks the run again.
void EntryRequest::Arm(TimePoint at) {
  if (this->armed && *this->armed <= at) {
    return;
  }
  this->armed = at;
  this->timer.expires_at(at);
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& error) {
    if (error || self->is_over) {
      return;
    }
    self->armed.reset();
    self->Do(self->run->OnWake(Runtime::Now()));
  });
}

void EntryRequest::OnReply(uint32_t number, TargetReply reply) {
  const TimePoint now = Runtime::Now();
  const AttemptOutcome outcome = this->attempts->Take(number, reply, now);
  this->Conclude(number, outcome, std::move(reply));
}

void EntryRequest::Conclude(uint32_t number,
                            AttemptOutcome outcome,
                            TargetReply reply) {
  const TimePoint now = Runtime::Now();
  switch (outcome) {
    case AttemptOutcome::kAnswer:
      if (this->route->is_scatter) {
        reply.answer.body = KeepGreatestRecords(std::move(reply.answer.body),
                                                this->route->top_records);
      }
      this->Do(this->run->OnAnswer(number, std::move(reply.answer), now));
      return;
    case AttemptOutcome::kFailure:
      this->Do(this->run->OnErrorAnswer(number, std::move(reply.answer), now));
      return;
    case AttemptOutcome::kNeverSent:
      this->Do(
          this->run->OnAttemptFailed(number, AttemptFailure::kNotSent, now));
      return;
    case AttemptOutcome::kDeclined:
      this->Do(
          this->run->OnAttemptFailed(number, AttemptFailure::kDeclined, now));
      return;
    case AttemptOutcome::kBroken:
      this->Do(
          this->run->OnAttemptFailed(number, AttemptFailure::kMayHaveRun, now));
      return;
  }
}

RequestLogContext EntryRequest::LogContext() const {
  return {.request = *this->request,
          .route = *this->route,
          .version = this->table->version(),
          .account = LoggedAccount(this->table.get(), this->request->account),
          .run = *this->run,
          .allowed = this->deadline - this->request->received,
          .attempt_log = this->attempts->log(),
          .fingerprint = this->attempts->loss_count() > 0
                             ? this->attempts->fingerprint()
                             : RequestFingerprint()};
}

void EntryRequest::Log(const RunEnd& end, int status) {
  const Duration took = Runtime::Now() - this->request->received;
  this->parts.metrics.CountRequest(this->route->name, ToString(end.kind), took);
  LogRequestEnd(this->LogContext(), end, status, took, [this] {
    return DescribeUnserved(this->parts.balancer, this->services,
                            Runtime::Now());
  });
}

int EntryRequest::AnswerCaller(RunEnd& end) {
  CallerAnswer answer = MakeRunAnswer(
      end,
      {.header_names = this->parts.header_names,
       .top_records = this->route->top_records,
       .is_diverting = this->parts.balancer.reachability().is_diverting()});
  const int status = answer.status;
  this->exchange->Answer(std::move(answer));
  return status;
}

// The caller's answer goes first: all else costs time that the caller waits.
void EntryRequest::End(RunEnd end) {
  this->is_over = true;
  this->parts.waiting.Leave(this->waiter_id);
  this->pending_end = std::make_shared<RunEnd>(std::move(end));
  const bool waits =
      this->pending_end->kind == RunEndKind::kParts &&
      this->gathers->Complete(this->pending_end,
                              [self = this->shared_from_this()](bool is_whole) {
                                self->OnCompleted(is_whole);
                              });
  if (waits) {
    this->attempts->ReleaseAfterAnswer();
  } else {
    this->Finish(std::move(*std::exchange(this->pending_end, nullptr)));
  }
}

void EntryRequest::OnCompleted(bool is_whole) {
  if (this->pending_end == nullptr) {
    return;
  }
  RunEnd end = std::move(*std::exchange(this->pending_end, nullptr));
  if (!is_whole) {
    end = {.kind = RunEndKind::kFailed, .cause = "records_lost"};
  }
  this->Finish(std::move(end));
}

void EntryRequest::Finish(RunEnd end) {
  const TimePoint decided = Runtime::Now();
  const int status = this->AnswerCaller(end);
  this->attempts->ReleaseAfterAnswer();
  // The caller is about to repeat it at another host.
  const bool is_failed =
      end.kind == RunEndKind::kFailed || end.kind == RunEndKind::kExpired;
  if (is_failed && this->attempts->loss_count() > 0) {
    this->parts.loss_sharing.Share(this->attempts->fingerprint());
  }
  this->parts.balancer.reachability().OnRequestEnded(
      /*is_served=*/end.kind == RunEndKind::kParts ||
          end.kind == RunEndKind::kAnswer,
      Runtime::Now());
  this->Log(end, status);
  // The pool has reported an older permit as spent.
  const bool is_permit_fresh =
      decided - this->request->received < kPermitLifetime;
  if (end.kind == RunEndKind::kNotRun && is_permit_fresh) {
    this->parts.admission.OnNotRun(*this->table, *this->route,
                                   this->request->account);
  }
  if (end.kind == RunEndKind::kParts) {
    this->WatchFinish(decided);
  } else {
    this->timer.cancel();
  }
}

// The processor time of this turn shows on the clock of a host with a small
// share of a processor only after the loop has come round.
void EntryRequest::WatchFinish(TimePoint decided) {
  this->timer.expires_after(Duration::zero());
  this->timer.async_wait([self = this->shared_from_this(),
                          decided](const boost::system::error_code& error) {
    if (!error) {
      self->parts.lead.OnSent(Runtime::Now() - decided);
    }
  });
}

void EntryRequest::Abandon() {
  const bool was_waiting = std::exchange(this->pending_end, nullptr) != nullptr;
  if (std::exchange(this->is_over, true) && !was_waiting) {
    return;
  }
  this->timer.cancel();
  this->parts.waiting.Leave(this->waiter_id);
  const Duration took = Runtime::Now() - this->request->received;
  this->attempts->ReleaseAfterCallerLeft();
  this->parts.metrics.CountRequest(this->route->name, "caller_left", took);
  LogCallerLeft(this->LogContext(), took);
}

void EntryRequest::Stop() {
  if (this->is_over) {
    this->OnCompleted(/*is_whole=*/false);
  } else {
    this->Do(this->run->OnStop(Runtime::Now()));
  }
}

}  // namespace

void StartEntryRequest(EntryParts& parts, AdmittedRequest admitted) {
  std::make_shared<EntryRequest>(parts, std::move(admitted))->Start();
}

}  // namespace knapweedroad
