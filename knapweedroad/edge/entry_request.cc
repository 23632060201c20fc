#include "knapweedroad/edge/entry_request.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/attempt_log.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/edge/parts_answer.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_message.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/request_run.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/split_rotation.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// A second attempt is sent once the first has taken longer than this share of
// earlier ones. The rest of the bound on extra attempts is for failures.
constexpr double kHedgeQuantile = 0.92;
constexpr Duration kLeastHedge = milliseconds(3);
// Part of the latency target after which it hedges while nothing is known.
constexpr int kUnknownHedgePart = 4;
// What is still out when the answer has gone may end within this, so that its
// connection can be used again. Failure: a shard is short of room, and attempts
// that nobody waits for any more run on in the very queue that is too long.
constexpr Duration kStragglerGrace = milliseconds(20);
// After the caller has left, work on targets is cut within this: under the
// half second that callers' work may outlive them.
constexpr Duration kAbandonGrace = milliseconds(60);
// A service without any usable target is likely to have one after the next
// round of health questions.
constexpr Duration kRetryWhenDown = milliseconds(400);
constexpr Duration kRetryWithoutConfiguration = milliseconds(500);
// Kept of the longest wait a second: callers that wait less take over.
constexpr double kWaitMemory = 0.999;
// A connection idle for longer may just have been closed by the target. For a
// request that must not run twice nobody could then say whether it ran.
constexpr Duration kFreshIdle = milliseconds(500);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Statuses by which a target would promise that it ran nothing.
bool PromisesNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kTooManyRequests = 429;
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

std::string Seconds(Duration duration) {
  const auto ms = std::chrono::ceil<milliseconds>(duration).count();
  std::string fraction = std::to_string(ms % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / 1000) + "." + fraction;
}

int64_t Ms(Duration duration) {
  return std::chrono::floor<milliseconds>(duration).count();
}

CallerAnswer Refusal(int status, std::optional<Duration> retry_after) {
  CallerAnswer answer{.status = status};
  if (retry_after) {
    AppendLine(answer.header, "Retry-After", Seconds(*retry_after));
  }
  return answer;
}

class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
 public:
  EntryRequest(EntryParts& parts,
               CallerRequest request,
               std::shared_ptr<CallerExchange> exchange)
      : parts(parts),
        table(parts.table),
        request(std::move(request)),
        exchange(std::move(exchange)),
        timer(parts.runtime.io()) {}

  void Start();

 private:
  struct Attempt {
    TargetId target;
    TimePoint sent;
    std::shared_ptr<TargetExchange> exchange;
  };

  void Refuse(int status,
              std::string_view cause,
              std::optional<Duration> retry_after);
  RequestRunOptions RunOptions(const RouteConfig& route);
  // Whether the caller has most of the latency target left.
  bool IsFresh() const;
  void MakeHooks();
  std::string Bytes(const TargetId& target) const;
  void Do(RunStep step);
  void Send(const AttemptStart& start);
  void OnReply(uint32_t attempt, TargetReply reply);
  RunStep TakeAnswer(uint32_t attempt, TargetReply reply);
  void Note(const Attempt& attempt, std::string_view end, int status);
  void Arm(TimePoint at);
  void End(RunEnd end);
  // Sends the final answer; its status.
  int AnswerCaller(RunEnd& end);
  void RefuseRun(int status, std::optional<Duration> retry_after);
  // Learns how long the host took to send the answer.
  void WatchFinish(TimePoint decided);
  void Log(const RunEnd& end, int status);
  // Services without a usable target, and what is believed of theirs.
  std::string DescribeUnserved() const;
  void Abandon();
  void ReleaseAttempts(Duration grace);

  EntryParts& parts;
  std::shared_ptr<const RouteTable> table;
  CallerRequest request;
  std::shared_ptr<CallerExchange> exchange;
  boost::asio::steady_timer timer;
  const RouteConfig* route = nullptr;
  RouteMemory* memory = nullptr;
  TimePoint deadline;
  TimePoint target_at;
  RunHooks hooks;
  std::vector<ServiceId> services;
  std::optional<RequestRun> run;
  std::vector<Attempt> attempts;
  std::optional<TimePoint> armed;
  AttemptLog attempt_log;
  bool is_over = false;
};

void EntryRequest::Refuse(int status,
                          std::string_view cause,
                          std::optional<Duration> retry_after) {
  const std::string_view route_name =
      this->route == nullptr ? "none" : std::string_view(this->route->name);
  this->parts.metrics.CountRequest(route_name, cause, Duration::zero());
  LogLine("request_refused")
      .Add("id", this->request.id)
      .Add("route", route_name)
      .Add("status", status)
      .Add("cause", cause)
      .Add("host", this->request.host)
      .Add("path", this->request.path)
      .Add("version", this->table == nullptr ? 0 : this->table->version())
      .Info();
  this->exchange->Answer(Refusal(status, retry_after));
}

RequestRunOptions EntryRequest::RunOptions(const RouteConfig& to) {
  const Duration wait =
      std::min(this->request.time_left.value_or(to.timeout), to.timeout);
  RouteMemory& known = *this->memory;
  const Duration told = this->request.time_left.value_or(to.timeout);
  known.longest_wait = std::max(told, std::chrono::duration_cast<Duration>(
                                          known.longest_wait * kWaitMemory));
  const Duration elapsed = known.longest_wait - told;
  const TimePoint received = this->request.received;
  this->deadline = received + wait;
  const Duration unknown = to.latency_target / kUnknownHedgePart;
  const Duration usual =
      known.latency.Quantile(kHedgeQuantile).value_or(unknown);
  const size_t parts = to.is_scatter ? to.services.size() : 0;
  this->target_at =
      received + to.latency_target - elapsed - this->parts.lead.Get(parts);
  RequestRunOptions options{.is_scatter = to.is_scatter,
                            .idempotent = to.idempotent || to.is_scatter,
                            .max_attempts = to.max_attempts,
                            .min_share = to.is_scatter ? to.min_share : 1,
                            .target_at = this->target_at,
                            .deadline = this->deadline,
                            .hedge_after = std::max(kLeastHedge, usual),
                            .retry_when_busy = to.latency_target / 4,
                            .retry_when_down = kRetryWhenDown};
  if (to.is_scatter) {
    for (const RouteService& part : to.services) {
      options.services.push_back(part.service);
    }
  } else {
    options.services.push_back(this->parts.rotation.Next(to));
  }
  return options;
}

bool EntryRequest::IsFresh() const {
  const Duration left = this->target_at - Runtime::Now();
  return left * 2 >= this->route->latency_target;
}

void EntryRequest::MakeHooks() {
  this->hooks.pick = [this](const ServiceId& service,
                            std::span<const TargetId> tried) {
    return this->parts.balancer.Pick(service, tried, Runtime::Now());
  };
  this->hooks.is_served = [this](const ServiceId& service,
                                 std::span<const TargetId> tried) {
    return this->parts.balancer.IsServed(service, Runtime::Now(), tried);
  };
  this->hooks.spend_extra = [this](const ServiceId& service, bool is_hedge) {
    const TimePoint now = Runtime::Now();
    const size_t hosts = this->parts.balancer.entry_hosts();
    RetryBudget& budget = this->parts.budgets.at(service);
    const bool sent = is_hedge ? budget.SpendHedge(hosts, now)
                               : budget.SpendRetry(hosts, now);
    this->parts.metrics.CountExtra(sent);
    return sent;
  };
  this->hooks.leave_out = [this](size_t most) {
    return this->parts.shedding.Choose(this->services, most, Runtime::Now());
  };
  // A caller who comes back has little of the latency target left: parts that
  // are late for it say nothing of their shards.
  if (!this->IsFresh()) {
    return;
  }
  this->hooks.on_part = [this](const ServiceId& service, bool in_time) {
    this->parts.shedding.OnPart(service, in_time, Runtime::Now());
  };
}

void EntryRequest::Start() {
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, "no_configuration", kRetryWithoutConfiguration);
    return;
  }
  this->route = this->table->Find(this->request.host, this->request.path);
  if (this->route == nullptr) {
    this->Refuse(kNotFound, "no_route", std::nullopt);
    return;
  }
  this->memory = &this->parts.routes[this->route->name];
  const TimePoint now = Runtime::Now();
  RequestRunOptions options = this->RunOptions(*this->route);
  this->services = options.services;
  for (const ServiceId& service : options.services) {
    this->parts.budgets
        .try_emplace(service, this->parts.budget_limits, this->parts.started)
        .first->second.OnRequest(now);
  }
  this->MakeHooks();
  this->run.emplace(std::move(options), this->hooks);
  this->exchange->on_abandoned = [self = this->shared_from_this()] {
    self->Abandon();
  };
  this->Do(this->run->Start(now));
}

std::string EntryRequest::Bytes(const TargetId& target) const {
  return MakeTargetMessage(this->parts.header_names, this->request, target,
                           this->deadline - Runtime::Now());
}

void EntryRequest::Send(const AttemptStart& start) {
  if (this->attempts.size() <= start.attempt) {
    this->attempts.resize(start.attempt + 1);
  }
  const TargetRecord* const record = this->parts.balancer.Find(start.target);
  const TimePoint now = Runtime::Now();
  this->parts.balancer.OnSent(start.target, now);
  Attempt& attempt = this->attempts[start.attempt];
  attempt.target = start.target;
  attempt.sent = now;
  const auto self = this->shared_from_this();
  attempt.exchange = this->parts.links.Send(
      {.target = start.target,
       .address = record->address,
       .bytes = [self, target = start.target] { return self->Bytes(target); },
       .request_id = this->request.id,
       .wants_header = !this->route->is_scatter,
       .max_idle = this->route->idempotent || this->route->is_scatter
                       ? Duration::max()
                       : kFreshIdle,
       .settles = !this->route->idempotent && !this->route->is_scatter,
       .keep_connection = !this->parts.balancer.GivesBackConnections(now),
       .deadline = this->deadline},
      [self, number = start.attempt](TargetReply reply) {
        self->OnReply(number, std::move(reply));
      });
}

void EntryRequest::Do(RunStep step) {
  for (const AttemptStart& start : step.start) {
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

void EntryRequest::Note(const Attempt& attempt,
                        std::string_view end,
                        int status) {
  this->attempt_log.Add({.target = attempt.target,
                         .end = end,
                         .status = status,
                         .took = Runtime::Now() - attempt.sent});
}

RunStep EntryRequest::TakeAnswer(uint32_t number, TargetReply reply) {
  const TimePoint now = Runtime::Now();
  const Attempt& attempt = this->attempts[number];
  LoadBalancer& balancer = this->parts.balancer;
  const int status = reply.answer.status;
  if (status == kMisdirected) {
    balancer.OnMisdirected(attempt.target, now);
    this->Note(attempt, "other_target", 0);
    return this->run->OnEnd(number, AttemptEnd::kDeclined, now);
  }
  if (reply.says_not_run) {
    balancer.OnDeclined(attempt.target, reply.load, now);
    this->Note(attempt, "declined", status);
    return this->run->OnEnd(number, AttemptEnd::kDeclined, now);
  }
  const bool is_success = status >= 200 && status < 300;
  if (reply.answer.seal.empty() || (!is_success && PromisesNotRun(status))) {
    // A success without proof isn't the target's; a refusal without proof
    // may have run, and passed on it would promise the contrary.
    balancer.OnFailed(attempt.target, now);
    this->Note(attempt, "unproven", status);
    return this->run->OnEnd(number, AttemptEnd::kBroken, now);
  }
  if (is_success) {
    balancer.OnAnswered(attempt.target, now - attempt.sent, reply.load, now);
    this->memory->latency.Add(now - attempt.sent);
    return this->run->OnAnswer(number, std::move(reply.answer), now);
  }
  constexpr int kFirstServerFault = 500;
  if (status >= kFirstServerFault || this->route->is_scatter) {
    balancer.OnFailed(attempt.target, now);
    this->Note(attempt, "failed", status);
    return this->run->OnFailure(number, std::move(reply.answer), now);
  }
  // The caller's own fault by the target's word: another target says the same.
  balancer.OnAnswered(attempt.target, now - attempt.sent, reply.load, now);
  return this->run->OnAnswer(number, std::move(reply.answer), now);
}

void EntryRequest::OnReply(uint32_t number, TargetReply reply) {
  Attempt& attempt = this->attempts[number];
  attempt.exchange.reset();
  const TimePoint now = Runtime::Now();
  this->parts.metrics.CountAttempt(ToString(reply.kind));
  switch (reply.kind) {
    case ReplyKind::kAnswered:
      this->Do(this->TakeAnswer(number, std::move(reply)));
      return;
    case ReplyKind::kUnreachable:
      this->parts.balancer.OnUnreachable(attempt.target, now);
      this->Note(attempt, "unreachable", 0);
      this->Do(this->run->OnEnd(number, AttemptEnd::kNeverSent, now));
      return;
    case ReplyKind::kRejected:
      this->parts.balancer.OnConnectionRejected(attempt.target, now);
      this->Note(attempt, "connection_rejected", 0);
      this->Do(this->run->OnEnd(number, AttemptEnd::kNeverSent, now));
      return;
    case ReplyKind::kBroken:
      this->parts.balancer.OnBroken(attempt.target, now);
      this->Note(attempt, "broken", 0);
      this->Do(this->run->OnEnd(number, AttemptEnd::kBroken, now));
      return;
  }
}

std::string EntryRequest::DescribeUnserved() const {
  constexpr size_t kMostNamed = 4;
  const TimePoint now = Runtime::Now();
  std::string text;
  size_t named = 0;
  for (const ServiceId& service : this->services) {
    if (this->parts.balancer.IsServed(service, now)) {
      continue;
    }
    if (++named > kMostNamed) {
      return text + "...";
    }
    const ServiceCount count = this->parts.balancer.Count(service, now);
    text += service.str() + "(leaving:" + std::to_string(count.leaving) +
            ",out:" + std::to_string(count.out) +
            ",silent:" + std::to_string(count.silent) +
            ",ejected:" + std::to_string(count.ejected) +
            ",cold:" + std::to_string(count.cold) +
            ",usable:" + std::to_string(count.usable) + ") ";
  }
  return text;
}

void EntryRequest::Log(const RunEnd& end, int status) {
  const Duration took = Runtime::Now() - this->request.received;
  this->parts.metrics.CountRequest(this->route->name, ToString(end.kind), took);
  const bool is_served =
      end.kind == RunEndKind::kParts || end.kind == RunEndKind::kAnswer;
  const bool is_plain = is_served && status < 300 && end.missing == 0 &&
                        took <= this->route->latency_target;
  if (is_plain) {
    return;
  }
  LogLine("request_ended")
      .Add("id", this->request.id)
      .Add("route", this->route->name)
      .Add("outcome", ToString(end.kind))
      .Add("cause", end.cause)
      .Add("status", status)
      .Add("took_ms", Ms(took))
      .Add("allowed_ms", Ms(this->deadline - this->request.received))
      .Add("missing", end.missing)
      .Add("attempts", this->run->attempts())
      .Add("extra", this->run->extra_attempts())
      .Add("version", this->table->version())
      .Add("attempt_log", this->attempt_log.text())
      .Add("unserved", is_served && end.missing == 0 ? std::string()
                                                     : this->DescribeUnserved())
      .Info();
}

int EntryRequest::AnswerCaller(RunEnd& end) {
  switch (end.kind) {
    case RunEndKind::kAnswer: {
      const int status = end.answer.status;
      this->exchange->Answer({.status = status,
                              .header = std::move(end.answer.header),
                              .body = std::move(end.answer.body)});
      return status;
    }
    case RunEndKind::kParts:
      this->exchange->Answer(MakePartsAnswer(this->parts.header_names, end,
                                             this->route->top_records));
      return kOk;
    case RunEndKind::kNotRun:
      this->RefuseRun(kUnavailable, end.retry_after);
      return kUnavailable;
    case RunEndKind::kFailed:
      this->RefuseRun(kBadGateway, std::nullopt);
      return kBadGateway;
    case RunEndKind::kExpired:
      this->RefuseRun(kGatewayTimeout, std::nullopt);
      return kGatewayTimeout;
  }
  return kBadGateway;
}

void EntryRequest::RefuseRun(int status, std::optional<Duration> retry_after) {
  CallerAnswer answer = Refusal(status, retry_after);
  answer.closes = this->parts.balancer.reachability().is_sending_away();
  this->exchange->Answer(std::move(answer));
}

// The caller's answer goes first: all else costs time that the caller waits.
void EntryRequest::End(RunEnd end) {
  const TimePoint decided = Runtime::Now();
  this->is_over = true;
  const int status = this->AnswerCaller(end);
  this->ReleaseAttempts(kStragglerGrace);
  this->parts.balancer.reachability().OnRequest(
      /*is_served=*/end.kind == RunEndKind::kParts ||
          end.kind == RunEndKind::kAnswer,
      Runtime::Now());
  this->Log(end, status);
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

// Attempts that nobody waits for any more. What they tell of their targets is
// still worth knowing: these are the slow ones.
void EntryRequest::ReleaseAttempts(Duration grace) {
  for (Attempt& attempt : this->attempts) {
    if (attempt.exchange == nullptr) {
      continue;
    }
    this->Note(attempt, "unanswered", 0);
    LoadBalancer* const balancer = &this->parts.balancer;
    attempt.exchange->Abandon(
        grace, [balancer, target = attempt.target,
                sent = attempt.sent](const TargetReply& reply) {
          const TimePoint now = Runtime::Now();
          const bool is_answer = reply.kind == ReplyKind::kAnswered &&
                                 !reply.answer.seal.empty() &&
                                 !reply.says_not_run;
          if (is_answer) {
            balancer->OnAnswered(target, reply.latency, reply.load, now);
          } else {
            balancer->OnAbandoned(target, now - sent, now);
          }
        });
    attempt.exchange.reset();
  }
}

void EntryRequest::Abandon() {
  if (std::exchange(this->is_over, true)) {
    return;
  }
  this->timer.cancel();
  const Duration took = Runtime::Now() - this->request.received;
  this->ReleaseAttempts(kAbandonGrace);
  this->parts.metrics.CountRequest(this->route->name, "caller_left", took);
  LogLine("caller_left")
      .Add("id", this->request.id)
      .Add("route", this->route->name)
      .Add("took_ms", Ms(took))
      .Add("allowed_ms", Ms(this->deadline - this->request.received))
      .Add("attempts", this->run->attempts())
      .Add("attempt_log", this->attempt_log.text())
      .Info();
}

}  // namespace

void StartEntryRequest(EntryParts& parts,
                       CallerRequest request,
                       std::shared_ptr<CallerExchange> exchange) {
  std::make_shared<EntryRequest>(parts, std::move(request), std::move(exchange))
      ->Start();
}

}  // namespace knapweedroad
