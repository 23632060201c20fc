#include "knapweedroad/edge/request_attempts.h"

#include <cmath>
#include <utility>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/run_plan.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_message.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/answer_status.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/request_run.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// What is still out when the answer has gone may end within this, so that its
// connection can be used again, but doesn't fill the queue of a busy target.
constexpr Duration kStragglerGrace = milliseconds(20);
// After the caller has left, work on targets is cut within this: under the
// half second that callers' work may outlive them.
constexpr Duration kAbandonGrace = milliseconds(60);
// A connection idle for longer may just have been closed by the target. For a
// request that must not run twice nobody could then say whether it ran.
constexpr Duration kFreshIdle = milliseconds(500);
// From this host to one that gathers, there and back.
constexpr Duration kGatherWay = milliseconds(2);
constexpr double kPartBytesWeight = 0.05;

TargetReply ReplyOf(GatheredPart part) {
  const bool is_readable =
      part.kind <= static_cast<uint8_t>(ReplyKind::kDisconnected) &&
      (part.kind != static_cast<uint8_t>(ReplyKind::kAnswered) ||
       IsFinalStatus(part.status));
  if (!is_readable) {
    // A host of another version passes on what this one doesn't take.
    return {.kind = ReplyKind::kBroken, .was_gathered = true};
  }
  TargetReply reply{.kind = static_cast<ReplyKind>(part.kind),
                    .says_not_run = part.says_not_run,
                    .latency = microseconds(part.latency_us),
                    .was_gathered = true};
  reply.answer.status = part.status;
  reply.answer.seal = std::move(part.seal);
  if (part.slots > 0) {
    reply.load = TargetLoad{.running = part.running,
                            .waiting = part.waiting,
                            .slots = part.slots,
                            .service_time_percent = part.service_time_percent};
  }
  return reply;
}

AttemptFate FateOf(const TargetOutcome& outcome, const TargetReply& reply) {
  if (reply.kind == ReplyKind::kDisconnected) {
    return AttemptFate::kLost;
  }
  return outcome.outcome == AttemptOutcome::kAnswer ||
                 outcome.outcome == AttemptOutcome::kFailure
             ? AttemptFate::kAnswered
             : AttemptFate::kUnknown;
}

AttemptFate FateOfReleased(const TargetReply& reply) {
  if (reply.kind == ReplyKind::kDisconnected) {
    return AttemptFate::kLost;
  }
  return IsAnswer(reply) ? AttemptFate::kAnswered : AttemptFate::kUnknown;
}

}  // namespace

RequestAttempts::RequestAttempts(RequestAttemptsOptions options)
    : options(std::move(options)) {
  this->options.parts.running_attempts.insert(this);
}

RequestAttempts::~RequestAttempts() {
  this->options.parts.running_attempts.erase(this);
}

std::string RequestAttempts::Bytes(const TargetId& target) const {
  return MakeTargetMessage(this->options.parts.header_names,
                           *this->options.request, target,
                           this->options.deadline - Runtime::Now());
}

void RequestAttempts::Send(const AttemptStart& start, OnReply on_reply) {
  this->Register(start);
  this->Dispatch(start, std::move(on_reply));
}

void RequestAttempts::Register(const AttemptStart& start) {
  if (this->attempts.size() <= start.attempt) {
    this->attempts.resize(start.attempt + 1);
  }
  LoadBalancer& balancer = this->options.parts.balancer;
  const TargetRecord* const record = balancer.Find(start.target);
  const TimePoint now = Runtime::Now();
  balancer.OnSent(start.target, now);
  Attempt& attempt = this->attempts[start.attempt];
  attempt.target = start.target;
  attempt.service = record->service;
  if (this->IsSuspect()) {
    this->options.parts.detector.OnSent(this->fingerprint(),
                                        {attempt.service, attempt.target});
  }
  attempt.sent = now;
  attempt.sampled =
      this->options.parts.sampler.OnSent(record->service, record->version);
}

void RequestAttempts::Dispatch(const AttemptStart& start, OnReply on_reply) {
  const RouteConfig& route = this->options.route;
  LoadBalancer& balancer = this->options.parts.balancer;
  const TargetRecord* const record = balancer.Find(start.target);
  if (record == nullptr) {
    this->options.parts.runtime.Post([on_reply = std::move(on_reply)] {
      on_reply({.kind = ReplyKind::kUnreachable});
    });
    return;
  }
  const TimePoint now = Runtime::Now();
  Attempt& attempt = this->attempts[start.attempt];
  const bool may_run_again = route.idempotent || route.is_scatter;
  // Whatever has reset the connections of its first attempts may have reset
  // those that are idle as well. That they are lost again would say nothing of
  // the request.
  const bool needs_new_connection =
      this->IsSuspect() &&
      this->options.parts.detector.IsUnanswered(this->fingerprint());
  const auto self = this->shared_from_this();
  attempt.exchange = this->options.parts.links.Send(
      {.target = start.target,
       .address = record->address,
       .bytes = [self, target = start.target] { return self->Bytes(target); },
       .request_id = this->options.request->id,
       .wants_header = !route.is_scatter,
       .max_idle = needs_new_connection ? Duration::zero()
                   : may_run_again      ? Duration::max()
                                        : kFreshIdle,
       .settles = !may_run_again,
       .keep_connection = !balancer.ShouldCloseConnections(now),
       .deadline = this->options.deadline},
      std::move(on_reply));
}

GatherCall RequestAttempts::MakeGatherCall(const HostId& relay,
                                           std::span<const AttemptStart> starts,
                                           Duration reply_within) {
  constexpr double kPercent = 100;
  if (this->request_token == 0) {
    this->request_token = this->options.parts.NextToken();
  }
  const double factor = this->options.memory.record_cut.factor();
  GatherCall call{
      .token = this->options.parts.NextToken(),
      .request_token = this->request_token,
      .time_left_us =
          (this->options.deadline - Runtime::Now()) / microseconds(1),
      .reply_within_us = reply_within / microseconds(1),
      .record_percent = static_cast<uint32_t>(std::ceil(factor * kPercent))};
  if (this->told.insert(relay).second) {
    const CallerRequest& request = *this->options.request;
    const RouteConfig& route = this->options.route;
    call.request = {.method = request.method,
                    .path = request.path,
                    .host = request.host,
                    .id = request.id,
                    .header = request.header,
                    .body = request.body,
                    .top_records = static_cast<uint32_t>(route.top_records),
                    .shards = static_cast<uint32_t>(route.services.size())};
  }
  for (const AttemptStart& start : starts) {
    call.targets.push_back(start.target);
  }
  return call;
}

void RequestAttempts::SendThrough(const EntryHostRecord& relay,
                                  std::span<const AttemptStart> starts,
                                  Duration reply_within,
                                  const OnGathered& on_gathered) {
  for (const AttemptStart& start : starts) {
    this->Register(start);
    this->attempts[start.attempt].is_gathered = true;
  }
  const auto self = this->shared_from_this();
  const auto made =
      std::make_shared<std::vector<AttemptStart>>(starts.begin(), starts.end());
  GatherCall call = this->MakeGatherCall(relay.host, starts, reply_within);
  const HeldRecords held{.relay = relay, .token = call.token};
  this->gathers.push_back(this->options.parts.gather_links.Start(
      {.relay = relay,
       .call = std::move(call),
       .request_id = this->options.request->id,
       .deadline = this->options.deadline,
       .on_reply =
           [self, made, held, on_gathered](GatherReply reply) {
             on_gathered(self->Understand(*made, held, std::move(reply)));
           },
       .on_lost =
           [self, made, on_gathered](bool may_have_run) {
             on_gathered(self->LoseAll(*made, may_have_run));
           }}));
}

RequestAttempts::Gathered RequestAttempts::Understand(
    std::span<const AttemptStart> made,
    HeldRecords held,
    GatherReply reply) {
  held.batch = reply.batch;
  held.count = reply.held;
  Gathered gathered{.attempt_count = made.size(),
                    .records = std::move(reply.records),
                    .held = std::move(held)};
  for (GatheredPart& part : reply.parts) {
    if (part.target >= made.size()) {
      continue;
    }
    const AttemptStart& start = made[part.target];
    this->attempts[start.attempt].is_gathered = false;
    if (part.kind == kPartNotTried) {
      gathered.not_tried.push_back(start);
      continue;
    }
    gathered.parts.push_back(
        {.attempt = start.attempt, .reply = ReplyOf(std::move(part))});
  }
  for (const AttemptStart& start : made) {
    if (this->attempts[start.attempt].is_gathered) {
      gathered.running.push_back(start.attempt);
    }
  }
  return gathered;
}

RequestAttempts::Gathered RequestAttempts::LoseAll(
    std::span<const AttemptStart> made,
    bool may_have_run) {
  Gathered gathered;
  for (const AttemptStart& start : made) {
    Attempt& attempt = this->attempts[start.attempt];
    if (!std::exchange(attempt.is_gathered, false)) {
      continue;
    }
    if (may_have_run) {
      gathered.lost.push_back(start.attempt);
    } else {
      gathered.not_tried.push_back(start);
    }
  }
  return gathered;
}

void RequestAttempts::SendUntried(const AttemptStart& start, OnReply on_reply) {
  this->Dispatch(start, std::move(on_reply));
}

// That another host or the way to it is gone says nothing of the target.
void RequestAttempts::TakeLost(uint32_t number, TimePoint now) {
  Attempt& attempt = this->attempts[number];
  this->options.parts.balancer.OnAbandoned(attempt.target, Duration::zero(),
                                           now);
  this->RecordFate(attempt, AttemptFate::kUnknown, now);
  this->options.parts.sampler.OnEnded(attempt.sampled);
  this->Note(attempt, "lost", 0);
}

void RequestAttempts::Note(const Attempt& attempt,
                           std::string_view end,
                           int status) {
  this->attempt_log.Add({.target = attempt.target,
                         .end = end,
                         .status = status,
                         .took = Runtime::Now() - attempt.sent});
}

void RequestAttempts::Sample(const Attempt& attempt,
                             const TargetOutcome& outcome,
                             const TargetReply& reply) {
  if (attempt.sampled.service.empty()) {
    return;
  }
  AnswerSampler& sampler = this->options.parts.sampler;
  const std::string& route = this->options.route.name;
  if (outcome.outcome == AttemptOutcome::kNeverSent ||
      outcome.is_other_target) {
    sampler.OnEnded(attempt.sampled);
  } else if (outcome.outcome == AttemptOutcome::kAnswer) {
    sampler.OnAnswered(attempt.sampled, attempt.target, route, reply.latency);
  } else {
    sampler.OnFailed(attempt.sampled, attempt.target, route);
  }
}

void RequestAttempts::LearnPartBytes(size_t bytes) {
  double& known = this->options.memory.part_bytes;
  const auto seen = static_cast<double>(bytes);
  known = known <= 0 ? seen
                     : known * (1 - kPartBytesWeight) + seen * kPartBytesWeight;
}

AttemptOutcome RequestAttempts::Take(uint32_t number,
                                     const TargetReply& reply,
                                     TimePoint now) {
  Attempt& attempt = this->attempts[number];
  attempt.exchange.reset();
  this->options.parts.metrics.CountAttempt(ToString(reply.kind));
  // The host that gathers waits for other parts before it tells of this one.
  const Duration took = reply.was_gathered ? reply.latency + kGatherWay
                                           : Duration(now - attempt.sent);
  const TargetOutcome outcome =
      LearnOutcome(this->options.parts.balancer, attempt.target, reply,
                   this->options.route.is_scatter, took, now);
  if (outcome.is_served) {
    (reply.was_gathered ? this->options.memory.gathered_latency
                        : this->options.memory.latency)
        .Add(took);
  }
  if (outcome.is_served && !reply.was_gathered &&
      this->options.route.is_scatter) {
    this->LearnPartBytes(reply.answer.body.size());
  }
  if (!outcome.word.empty()) {
    this->Note(attempt, outcome.word, reply.answer.status);
  }
  this->RecordFate(attempt, FateOf(outcome, reply), now);
  this->Sample(attempt, outcome, reply);
  return outcome.outcome;
}

void RequestAttempts::ReleaseAfterAnswer() {
  this->Release(kStragglerGrace);
}

void RequestAttempts::ReleaseAfterCallerLeft() {
  this->Release(kAbandonGrace);
}

void RequestAttempts::ReleaseGathered(Duration grace) {
  const TimePoint now = Runtime::Now();
  for (Attempt& attempt : this->attempts) {
    if (!std::exchange(attempt.is_gathered, false)) {
      continue;
    }
    this->Note(attempt, "unanswered", 0);
    this->RecordFate(attempt, AttemptFate::kUnknown, now);
    this->options.parts.balancer.OnAbandoned(attempt.target, now - attempt.sent,
                                             now);
    this->options.parts.sampler.OnGivenUp(attempt.sampled, attempt.target,
                                          this->options.route.name,
                                          now - attempt.sent);
  }
  for (const auto& gather : this->gathers) {
    gather->End(grace);
  }
  this->gathers.clear();
}

void RequestAttempts::Release(Duration grace) {
  this->ReleaseGathered(grace);
  LoadBalancer* const balancer = &this->options.parts.balancer;
  AnswerSampler* const sampler = &this->options.parts.sampler;
  for (size_t index = 0; index < this->attempts.size(); ++index) {
    Attempt& attempt = this->attempts[index];
    if (attempt.exchange == nullptr) {
      continue;
    }
    this->Note(attempt, "unanswered", 0);
    attempt.exchange->Abandon(
        grace, [self = this->shared_from_this(), index, balancer, sampler,
                target = attempt.target, sent = attempt.sent,
                sampled = attempt.sampled,
                route = this->options.route.name](const TargetReply& reply) {
          const TimePoint now = Runtime::Now();
          LearnReleased(*balancer, target, reply, now - sent, now);
          self->RecordFate(self->attempts[index], FateOfReleased(reply), now);
          if (IsAnswer(reply)) {
            sampler->OnAnswered(sampled, target, route, reply.latency);
          } else {
            sampler->OnGivenUp(sampled, target, route, now - sent);
          }
        });
    attempt.exchange.reset();
  }
}

}  // namespace knapweedroad
