#include "knapweedroad/host/coordinator.h"

#include <algorithm>
#include <optional>
#include <type_traits>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/attempt_outcome.h"
#include "knapweedroad/host/attempt_router.h"
#include "knapweedroad/host/caller_answer.h"
#include "knapweedroad/host/problem.h"
#include "knapweedroad/host/query_watch.h"
#include "knapweedroad/metrics/host_metrics.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/query/lookup_run.h"
#include "knapweedroad/query/query_limiter.h"
#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/record_run.h"

namespace knapweedroad {
namespace {

// nginx's status for a caller that closed; it is only seen in metrics.
constexpr int kCallerLeft = 499;
constexpr int kOk = 200;

}  // namespace

// What a front's requests share on this host.
struct FrontRuntime {
  explicit FrontRuntime(std::shared_ptr<const FrontConfig> front)
      : front(std::move(front)),
        state(*this->front),
        limiter({.front = *this->front}) {}

  std::shared_ptr<const FrontConfig> front;
  FrontState state;
  QueryLimiter limiter;
};

// Held by every run of the front: an answer that comes late is still counted in
// the front's latencies, after a new configuration has dropped them here.
using FrontPtr = std::shared_ptr<FrontRuntime>;

struct Coordinator::State : std::enable_shared_from_this<Coordinator::State> {
  State(Runtime& runtime, CoordinatorOptions options)
      : runtime(runtime),
        options(std::move(options)),
        random(this->options.seed) {}

  std::shared_ptr<FrontRuntime> FrontOf(const FrontRequest& request);
  QueryHooks HooksFor(const FrontRequest& request);
  // The same for a request that is sent again after it may have run.
  QueryHooks WatchedHooksFor(const FrontRequest& request,
                             const std::shared_ptr<QueryWatch>& watch);
  std::shared_ptr<QueryWatch> WatchFor(const FrontRequest& request);
  AttemptCall CallFor(const FrontRequest& request, const SendAttempt& send);
  HttpResponse AnswerQuery(const FrontRequest& request,
                           const FrontPtr& front,
                           HttpExchange& exchange);
  HttpResponse AnswerRecord(const FrontRequest& request,
                            const FrontPtr& front,
                            HttpExchange& exchange);
  HttpResponse AnswerLookup(const FrontRequest& request);
  void CountEnd(const FrontRequest& request,
                FrontRuntime& front,
                const QueryRunStats& stats,
                bool abandoned);

  Runtime& runtime;
  CoordinatorOptions options;
  std::mt19937_64 random;
  uint64_t last_attempt = 0;
  std::map<FrontId, std::shared_ptr<FrontRuntime>> fronts;
  QueryOfDeathDetector detector{{}};
};

std::shared_ptr<FrontRuntime> Coordinator::State::FrontOf(
    const FrontRequest& request) {
  auto& entry = this->fronts[request.front->name];
  if (entry == nullptr || *entry->front != *request.front) {
    entry = std::make_shared<FrontRuntime>(request.front);
  }
  return entry;
}

QueryHooks Coordinator::State::HooksFor(const FrontRequest& request) {
  return {.candidates =
              [this, front = request.front->name](const ServiceId& service) {
                return this->options.candidates(front, service);
              },
          .next_attempt_id =
              [this] {
                return AttemptId(this->options.process_id + "-" +
                                 std::to_string(++this->last_attempt));
              },
          .random = [this] { return this->random(); }};
}

QueryHooks Coordinator::State::WatchedHooksFor(
    const FrontRequest& request,
    const std::shared_ptr<QueryWatch>& watch) {
  QueryHooks hooks = this->HooksFor(request);
  hooks.check_send = [watch](const ServiceId& service, size_t unsent) {
    return watch->CheckSend(service, unsent);
  };
  return hooks;
}

std::shared_ptr<QueryWatch> Coordinator::State::WatchFor(
    const FrontRequest& request) {
  this->detector.Expire(Runtime::Now());
  const bool is_search = request.work == AttemptWork::kSearch;
  return std::make_shared<QueryWatch>(
      this->detector,
      MakeRequestFingerprint(
          {.method = is_search ? "search" : "record",
           .host = request.front->name.str(),
           .body = is_search ? request.query_body : request.record_id}));
}

AttemptCall Coordinator::State::CallFor(const FrontRequest& request,
                                        const SendAttempt& send) {
  return {.attempt = send.attempt,
          .target = send.target,
          .front = request.front->name,
          .tenant = request.tenant,
          .request_class = request.request_class,
          .tenant_weight = request.tenant_weight,
          .class_weight = request.class_weight,
          .work = request.work,
          .purpose = static_cast<uint8_t>(send.purpose),
          .snapshot = send.snapshot,
          .request_id = request.request_id,
          .idempotency_key = request.idempotency_key,
          .body = request.work == AttemptWork::kSearch ? request.query_body
                                                       : request.record_id};
}

namespace {

AttemptFate FateOf(const AttemptReply& reply) {
  switch (reply.end) {
    case AttemptEnd::kAnswered:
      return AttemptFate::kAnswered;
    case AttemptEnd::kTargetLost:
      return AttemptFate::kLost;
    default:
      return AttemptFate::kUnknown;
  }
}

// A run of the query core with the fibers that carry out its actions. `Run` is
// QueryRun, RecordRun or LookupRun; `Result` is what it ends with.
template <typename Run, typename Reply>
class LiveRun : public std::enable_shared_from_this<LiveRun<Run, Reply>> {
 public:
  using Result = std::variant<QueryAnswer, RecordReply, QueryRefusal>;
  using ReadReply =
      std::function<tl::expected<Reply, TargetAttemptFailure>(AttemptReply)>;
  using MakeCall = std::function<AttemptCall(const SendAttempt&)>;

  LiveRun(Runtime& runtime,
          AttemptRouter& router,
          MakeCall make_call,
          ReadReply read_reply,
          std::shared_ptr<QueryWatch> watch,
          typename std::add_rvalue_reference<Run>::type run)
      : runtime(runtime),
        router(router),
        make_call(std::move(make_call)),
        read_reply(std::move(read_reply)),
        watch(std::move(watch)),
        run(std::move(run)),
        changed(runtime) {}

  // Blocks the calling fiber; nothing where the caller left.
  std::optional<Result> RunToEnd() {
    this->Perform(this->run.Start(Runtime::Now()));
    while (!this->run.finished()) {
      const TimePoint wake = this->run.NextWake().value_or(TimePoint::max());
      if (!this->changed.WaitUntil(wake)) {
        this->Perform(this->run.OnTimer(Runtime::Now()));
      }
    }
    return std::move(this->result);
  }

  void Abandon() {
    if constexpr (requires { this->run.Abandon(TimePoint()); }) {
      this->Perform(this->run.Abandon(Runtime::Now()));
      this->changed.Set();
    }
  }

  const Run& decisions() const { return this->run; }

 private:
  void Perform(const QueryActions& actions) {
    for (const QueryAction& action : actions) {
      std::visit([this](const auto& each) { this->Do(each); }, action);
    }
  }

  void Perform(const RecordStep& step) {
    this->Perform(step.actions);
    if (step.result) {
      std::visit([this](const auto& each) { this->result = each; },
                 *step.result);
      this->changed.Set();
    }
  }

  void Do(const SendAttempt& send) {
    this->runtime.Spawn(
        [self = this->shared_from_this(), send] { self->Attempt(send); });
  }

  void Do(const CancelAttempt& cancel) {
    this->runtime.Spawn([self = this->shared_from_this(), cancel] {
      self->router.Cancel(cancel.attempt, cancel.target);
    });
  }

  void Do(const FinishAnswer& finish) {
    this->result = finish.answer;
    this->changed.Set();
  }

  void Do(const FinishRefusal& finish) {
    this->result = finish.refusal;
    this->changed.Set();
  }

  void Attempt(const SendAttempt& send) {
    AttemptCall call = this->make_call(send);
    const std::string request_id = call.request_id;
    const AttemptTarget target{send.service, send.target};
    if (this->watch != nullptr) {
      this->watch->OnSent(target, Runtime::Now());
    }
    AttemptReply reply = this->router.Run(std::move(call), send.deadline);
    if (this->watch != nullptr &&
        this->watch->OnEnded(target, FateOf(reply), Runtime::Now())) {
      LogLine("query_of_death")
          .Add("fingerprint", ToString(this->watch->fingerprint()))
          .Add("request_id", request_id)
          .Add("service", send.service)
          .Add("target", send.target)
          .Warning();
    }
    if (LogLine::TraceIsOn()) {
      LogLine("attempt_ended")
          .Add("request_id", request_id)
          .Add("attempt", send.attempt)
          .Add("target", send.target)
          .Add("end", static_cast<int>(reply.end))
          .Add("outcome", ToString(reply.outcome))
          .Trace();
    }
    auto read = this->read_reply(std::move(reply));
    const TimePoint now = Runtime::Now();
    if (read) {
      this->Perform(this->run.OnReply(send.attempt, std::move(*read), now));
    } else {
      this->Perform(this->run.OnFailure(send.attempt, read.error(), now));
    }
    // The run may want to be woken at another time than before.
    this->changed.Set();
  }

  Runtime& runtime;
  AttemptRouter& router;
  MakeCall make_call;
  ReadReply read_reply;
  // Null for requests that are sent once.
  std::shared_ptr<QueryWatch> watch;
  Run run;
  TimedEvent changed;
  std::optional<Result> result;
};

}  // namespace

void Coordinator::State::CountEnd(const FrontRequest& request,
                                  FrontRuntime& front,
                                  const QueryRunStats& stats,
                                  bool abandoned) {
  this->options.metrics.CountAttempts(request.front->name, stats);
  front.limiter.Finish({.tenant = request.tenant,
                        .class_name = request.request_class,
                        .start = request.start,
                        .deadline = request.deadline,
                        .refused_sub_requests = stats.refused,
                        .abandoned = abandoned},
                       Runtime::Now());
}

namespace {

void LogPartial(const FrontRequest& request, const QueryAnswer& answer) {
  std::string missing;
  for (const ServiceId& service : answer.missing_services) {
    missing += (missing.empty() ? "" : ",") + service.str();
  }
  LogLine("answer_partial")
      .Add("request_id", request.request_id)
      .Add("front", request.front->name)
      .Add("coverage", answer.coverage.ToText())
      .Add("missing", missing)
      .Info();
}

}  // namespace

HttpResponse Coordinator::State::AnswerQuery(const FrontRequest& request,
                                             const FrontPtr& front,
                                             HttpExchange& exchange) {
  using Live = LiveRun<QueryRun, SearchReply>;
  const std::shared_ptr<QueryWatch> watch = this->WatchFor(request);
  auto live = std::make_shared<Live>(
      this->runtime, this->options.router,
      [self = this->shared_from_this(), request,
       front](const SendAttempt& send) { return self->CallFor(request, send); },
      [](const AttemptReply& reply) { return ReadSubReply(reply); }, watch,
      QueryRun({.front = *request.front,
                .own_zone = this->options.own_zone,
                .request_id = request.request_id,
                .limit = request.limit,
                .start = request.start,
                .deadline = request.deadline,
                .state = front->state,
                .hooks = this->WatchedHooksFor(request, watch)}));
  exchange.on_abandoned = [live] { live->Abandon(); };
  const auto result = live->RunToEnd();
  this->CountEnd(request, *front, live->decisions().stats(),
                 /*abandoned=*/!result.has_value());
  if (!result) {
    return {.status = kCallerLeft};
  }
  if (const auto* answer = std::get_if<QueryAnswer>(&*result)) {
    this->options.metrics.ObserveCoverage(request.front->name, request.tenant,
                                          answer->coverage.Value());
    if (!answer->coverage.IsComplete()) {
      LogPartial(request, *answer);
    }
    return QueryResponse(request, *answer, this->options.host);
  }
  return ProblemResponse(std::get<QueryRefusal>(*result), request.request_id);
}

HttpResponse Coordinator::State::AnswerRecord(const FrontRequest& request,
                                              const FrontPtr& front,
                                              HttpExchange& exchange) {
  using Live = LiveRun<RecordRun, RecordReply>;
  const std::shared_ptr<QueryWatch> watch = this->WatchFor(request);
  auto live = std::make_shared<Live>(
      this->runtime, this->options.router,
      [self = this->shared_from_this(), request,
       front](const SendAttempt& send) { return self->CallFor(request, send); },
      [](AttemptReply reply) { return ReadRecordReply(std::move(reply)); },
      watch,
      RecordRun({.front = *request.front,
                 .service = request.front->services.front().name,
                 .own_zone = this->options.own_zone,
                 .start = request.start,
                 .deadline = request.deadline,
                 .state = front->state,
                 .hooks = this->WatchedHooksFor(request, watch)}));
  exchange.on_abandoned = [live] { live->Abandon(); };
  const auto result = live->RunToEnd();
  this->CountEnd(request, *front, live->decisions().stats(),
                 /*abandoned=*/!result.has_value());
  if (!result) {
    return {.status = kCallerLeft};
  }
  if (const auto* reply = std::get_if<RecordReply>(&*result)) {
    return RecordResponse(request, *reply, this->options.host);
  }
  return ProblemResponse(std::get<QueryRefusal>(*result), request.request_id);
}

HttpResponse Coordinator::State::AnswerLookup(const FrontRequest& request) {
  const RecordResult result = this->options.lookup(request);
  if (const auto* reply = std::get_if<RecordReply>(&result)) {
    return RecordResponse(request, *reply, this->options.host);
  }
  return ProblemResponse(std::get<QueryRefusal>(result), request.request_id);
}

RecordResult Coordinator::RunLookup(const FrontRequest& request) {
  using Live = LiveRun<LookupRun, RecordReply>;
  const std::shared_ptr<State> self = this->state;
  auto live = std::make_shared<Live>(
      self->runtime, self->options.router,
      [self, request](const SendAttempt& send) {
        return self->CallFor(request, send);
      },
      [](AttemptReply reply) { return ReadRecordReply(std::move(reply)); },
      /*watch=*/nullptr,
      LookupRun({.front = *request.front,
                 .service = request.front->services.front().name,
                 .own_zone = self->options.own_zone,
                 .start = request.start,
                 .deadline = request.deadline,
                 .hooks = self->HooksFor(request)}));
  const auto result = live->RunToEnd();
  if (const auto* reply = std::get_if<RecordReply>(&*result)) {
    return *reply;
  }
  return std::get<QueryRefusal>(*result);
}

Coordinator::Coordinator(Runtime& runtime, CoordinatorOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

Coordinator::~Coordinator() = default;

HttpResponse Coordinator::Answer(const FrontRequest& request,
                                 HttpExchange& exchange) {
  const std::shared_ptr<State> self = this->state;
  const std::shared_ptr<FrontRuntime> front = self->FrontOf(request);
  HttpResponse response;
  const auto refusal =
      request.work == AttemptWork::kLookup
          ? std::nullopt
          : front->limiter.TryAdmit({.tenant = request.tenant,
                                     .class_name = request.request_class,
                                     .deadline = request.deadline},
                                    Runtime::Now());
  if (refusal) {
    response = ProblemResponse(*refusal, request.request_id);
  } else if (request.work == AttemptWork::kSearch) {
    response = self->AnswerQuery(request, front, exchange);
  } else if (request.work == AttemptWork::kRecord) {
    response = self->AnswerRecord(request, front, exchange);
  } else {
    response = self->AnswerLookup(request);
  }
  front->state.SetOverloaded(front->limiter.IsOverloaded(Runtime::Now()));
  const Duration took = Runtime::Now() - request.start;
  self->options.metrics.ObserveRequest(request.front->name, request.tenant,
                                       request.request_class, response.status,
                                       took);
  if (response.status != kOk) {
    LogLine("request_not_answered")
        .Add("request_id", request.request_id)
        .Add("front", request.front->name)
        .Add("tenant", request.tenant)
        .Add("class", request.request_class)
        .Add("status", response.status)
        .Add("outcome", FindHeader(response.headers, "Knapweed-Outcome"))
        .Add(
            "took_us",
            std::chrono::duration_cast<std::chrono::microseconds>(took).count())
        .Info();
  }
  return response;
}

void Coordinator::OnConfiguration(const DeploymentConfig& configuration) {
  std::erase_if(this->state->fronts, [&](const auto& entry) {
    return std::none_of(
        configuration.fronts.begin(), configuration.fronts.end(),
        [&](const FrontConfig& front) { return front.name == entry.first; });
  });
}

}  // namespace knapweedroad
