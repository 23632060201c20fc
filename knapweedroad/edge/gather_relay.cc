#include "knapweedroad/edge/gather_relay.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/gather_messages.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_message.h"
#include "knapweedroad/edge/target_outcome.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/record_limit.h"
#include "knapweedroad/routing/record_merge.h"

namespace knapweedroad {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A call for the rest waits at most this long, so that a host which is gone
// doesn't hold its fiber.
constexpr Duration kMoreWait = milliseconds(250);
constexpr Duration kForgetAfter = std::chrono::seconds(1);
// An answer is made within its deadline, most of them much sooner.
constexpr Duration kHeldFor = std::chrono::seconds(2);

constexpr double kPercent = 100;

GatheredPart PartOf(size_t index, const TargetReply& reply) {
  GatheredPart part{
      .target = static_cast<uint16_t>(index),
      .kind = static_cast<uint8_t>(reply.kind),
      .status = static_cast<uint16_t>(reply.answer.status),
      .says_not_run = reply.says_not_run,
      .seal = reply.answer.seal,
      .latency_us = static_cast<uint32_t>(reply.latency / microseconds(1))};
  if (reply.load) {
    part.running = static_cast<uint16_t>(reply.load->running);
    part.waiting = static_cast<uint16_t>(reply.load->waiting);
    part.slots = static_cast<uint16_t>(reply.load->slots);
    part.service_time_percent = reply.load->service_time_percent;
  }
  return part;
}

}  // namespace

struct GatherRelay::Attempt {
  TargetId target;
  TimePoint sent;
  // Null once it has ended.
  std::shared_ptr<TargetExchange> exchange;
};

struct GatherRelay::KnownRequest {
  CallerRequest request;
  size_t top_records = 0;
  size_t shards = 1;
  TimePoint until;
};

struct GatherRelay::Run {
  explicit Run(Runtime& runtime) : changed(runtime) {}

  std::shared_ptr<const KnownRequest> of;
  TimePoint deadline;
  RecordLimit cut;
  uint16_t batches = 0;
  std::vector<Attempt> attempts;
  // Not told yet.
  std::vector<GatheredPart> ended;
  std::vector<std::string> bodies;
  size_t running = 0;
  // Somebody waits for the next part, and not for all of them.
  bool wants_each = false;
  // To be told at once: the shard may be asked again.
  bool has_failure = false;
  bool is_ended = false;
  TimedEvent changed;
};

GatherRelay::GatherRelay(GatherRelayOptions options)
    : options(std::move(options)) {}

GatherRelay::~GatherRelay() = default;

void GatherRelay::Send(const std::shared_ptr<Run>& run,
                       const GatherCall& call,
                       size_t index) {
  const TargetId& target = call.targets[index];
  LoadBalancer& balancer = this->options.balancer;
  const TimePoint now = Runtime::Now();
  const TargetRecord* const record = balancer.FindAvailable(target, now);
  if (record == nullptr) {
    run->ended.push_back(
        {.target = static_cast<uint16_t>(index), .kind = kPartNotTried});
    run->has_failure = true;
    return;
  }
  ++run->running;
  balancer.OnSent(target, now);
  if (this->options.on_attempt) {
    this->options.on_attempt(record->service);
  }
  run->attempts[index] = {
      .target = target,
      .sent = now,
      .exchange = this->options.links.Send(
          {.target = target,
           .address = record->address,
           .bytes =
               [this, run, target] {
                 return MakeTargetMessage(this->options.header_names,
                                          run->of->request, target,
                                          run->deadline - Runtime::Now());
               },
           .request_id = run->of->request.id,
           .wants_header = false,
           .keep_connection = !balancer.ShouldCloseConnections(now),
           .deadline = run->deadline},
          [this, run, index](TargetReply reply) {
            this->OnReply(run, index, std::move(reply));
          })};
}

void GatherRelay::OnReply(const std::shared_ptr<Run>& run,
                          size_t index,
                          TargetReply reply) {
  --run->running;
  Attempt& attempt = run->attempts[index];
  attempt.exchange.reset();
  const TargetOutcome outcome =
      LearnOutcome(this->options.balancer, attempt.target, reply,
                   /*is_scatter=*/true, reply.latency, Runtime::Now());
  run->ended.push_back(PartOf(index, reply));
  if (outcome.outcome == AttemptOutcome::kAnswer) {
    run->bodies.push_back(KeepGreatestRecords(std::move(reply.answer.body),
                                              run->of->top_records));
  } else {
    run->has_failure = true;
  }
  if (run->running == 0 || run->wants_each || run->has_failure) {
    run->changed.Set();
  }
}

GatherReply GatherRelay::TakeParts(uint64_t token, Run& run) {
  GatherReply reply{.running = static_cast<uint16_t>(run.running),
                    .parts = std::exchange(run.ended, {})};
  const std::vector<std::string> bodies = std::exchange(run.bodies, {});
  const std::vector<std::string_view> views(bodies.begin(), bodies.end());
  reply.records = MergeRecords(views, run.of->top_records);
  const size_t wanted =
      kRecordBytes *
      run.cut.RecordsToRequest({.parts = views.size(),
                                .shards = run.of->shards,
                                .top_records = run.of->top_records});
  if (reply.records.size() <= wanted) {
    return reply;
  }
  reply.batch = ++run.batches;
  reply.held =
      static_cast<uint16_t>((reply.records.size() - wanted) / kRecordBytes);
  this->held[{token, reply.batch}] = {.until = Runtime::Now() + kHeldFor,
                                      .records = reply.records.substr(wanted)};
  reply.records.resize(wanted);
  return reply;
}

std::optional<std::string> GatherRelay::Held(uint64_t token,
                                             uint16_t batch) const {
  const auto found = this->held.find({token, batch});
  return found == this->held.end() ? std::nullopt
                                   : std::optional(found->second.records);
}

void GatherRelay::ForgetIfOver(uint64_t token, const Run& run) {
  if (run.running == 0) {
    this->runs.erase(token);
  }
}

std::shared_ptr<const GatherRelay::KnownRequest> GatherRelay::FindRequest(
    const GatherCall& call) {
  if (!call.request) {
    const auto found = this->requests.find(call.request_token);
    return found == this->requests.end() ? nullptr : found->second;
  }
  const GatheredRequest& told = *call.request;
  const TimePoint now = Runtime::Now();
  auto known = std::make_shared<const KnownRequest>(
      KnownRequest{.request = {.method = told.method,
                               .path = told.path,
                               .host = told.host,
                               .id = told.id,
                               .header = told.header,
                               .body = told.body,
                               .received = now},
                   .top_records = told.top_records,
                   .shards = told.shards,
                   .until = now + microseconds(call.time_left_us)});
  this->requests.insert_or_assign(call.request_token, known);
  return known;
}

GatherReply GatherRelay::Gather(const GatherCall& call) {
  if (this->is_draining || this->runs.size() >= this->options.most_running ||
      this->runs.contains(call.token)) {
    return {.is_refused = true};
  }
  const auto known = this->FindRequest(call);
  if (known == nullptr) {
    return {.is_unknown = true};
  }
  const TimePoint now = Runtime::Now();
  const auto run = std::make_shared<Run>(this->options.runtime);
  run->of = known;
  run->deadline = now + microseconds(call.time_left_us);
  run->cut = RecordLimit(call.record_percent / kPercent);
  run->attempts.resize(call.targets.size());
  this->runs.emplace(call.token, run);
  for (size_t i = 0; i < call.targets.size(); ++i) {
    this->Send(run, call, i);
  }
  const TimePoint reply_at =
      std::min(run->deadline, now + microseconds(call.reply_within_us));
  while (run->running > 0 && !run->has_failure && !run->is_ended &&
         Runtime::Now() < reply_at) {
    run->changed.WaitUntil(reply_at);
  }
  this->ForgetIfOver(call.token, *run);
  return this->TakeParts(call.token, *run);
}

GatherReply GatherRelay::More(uint64_t token) {
  const auto found = this->runs.find(token);
  if (found == this->runs.end()) {
    return {};
  }
  const std::shared_ptr<Run> run = found->second;
  const TimePoint until = Runtime::Now() + kMoreWait;
  run->wants_each = true;
  while (run->ended.empty() && run->running > 0 && !run->is_ended &&
         Runtime::Now() < until) {
    run->changed.WaitUntil(until);
  }
  this->ForgetIfOver(token, *run);
  return this->TakeParts(token, *run);
}

void GatherRelay::Sweep(TimePoint now) {
  std::erase_if(this->runs, [now](const auto& entry) {
    return now > entry.second->deadline + kForgetAfter;
  });
  std::erase_if(this->requests,
                [now](const auto& entry) { return now > entry.second->until; });
  std::erase_if(this->held,
                [now](const auto& entry) { return now > entry.second.until; });
}

void GatherRelay::StopRunning() {
  for (const auto& [token, run] : this->runs) {
    for (size_t index = 0; index < run->attempts.size(); ++index) {
      Attempt& attempt = run->attempts[index];
      if (attempt.exchange != nullptr) {
        attempt.exchange->Abandon(Duration::zero(), nullptr);
        attempt.exchange.reset();
        run->ended.push_back(PartOf(index, {.kind = ReplyKind::kBroken}));
      }
    }
    run->running = 0;
    run->changed.Set();
  }
}

void GatherRelay::End(uint64_t token, Duration grace) {
  const auto found = this->runs.find(token);
  if (found == this->runs.end()) {
    return;
  }
  const std::shared_ptr<Run> run = found->second;
  this->runs.erase(found);
  run->is_ended = true;
  for (Attempt& attempt : run->attempts) {
    if (attempt.exchange == nullptr) {
      continue;
    }
    attempt.exchange->Abandon(
        grace, [balancer = &this->options.balancer, target = attempt.target,
                sent = attempt.sent](const TargetReply& reply) {
          const TimePoint now = Runtime::Now();
          LearnReleased(*balancer, target, reply, now - sent, now);
        });
    attempt.exchange.reset();
  }
  run->changed.Set();
}

}  // namespace knapweedroad
