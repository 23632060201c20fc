#include "knapweedroad/host/lookup_service.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/admission/rendezvous.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/query/idempotency_table.h"
#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/lookup_call.h"

namespace knapweedroad {
namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

QueryRefusal Unreachable(const NetError& error, bool first_send) {
  // A key that was sent before may have run on the host that can't be asked.
  const bool not_run = !error.written && first_send;
  return {
      .status = kUnavailable,
      .title = "Responsible host not reached",
      .detail = "the host that is responsible for this key: " + error.detail,
      .outcome = not_run ? RunOutcome::kNotRun : RunOutcome::kUnknown,
      .retry_after = kDefaultRetryAfter};
}

LookupReply ToReply(const RecordResult& result) {
  if (const auto* record = std::get_if<RecordReply>(&result)) {
    return {.is_answer = true,
            .found = record->found,
            .snapshot = record->snapshot,
            .body = record->body};
  }
  const auto& refusal = std::get<QueryRefusal>(result);
  return {.status = refusal.status,
          .title = refusal.title,
          .detail = refusal.detail,
          .outcome = refusal.outcome,
          .retry_after_ns = static_cast<uint64_t>(refusal.retry_after.count())};
}

RecordResult ToResult(LookupReply reply) {
  if (reply.is_answer) {
    return RecordReply{.snapshot = reply.snapshot,
                       .found = reply.found,
                       .body = std::move(reply.body)};
  }
  return QueryRefusal{.status = reply.status,
                      .title = std::move(reply.title),
                      .detail = std::move(reply.detail),
                      .outcome = reply.outcome,
                      .retry_after = Duration(reply.retry_after_ns)};
}

// One caller that waits for a key that another one began.
struct KeyWaiter {
  explicit KeyWaiter(Runtime& runtime) : done(runtime) {}

  TimedEvent done;
  std::optional<RecordResult> result;
};

// A key is unique to its tenant and front.
std::string FullKey(const FrontRequest& request) {
  return request.front->name.str() + "/" + request.tenant.str() + "/" +
         request.idempotency_key;
}

}  // namespace

struct LookupService::State
    : std::enable_shared_from_this<LookupService::State> {
  State(Runtime& runtime, LookupServiceOptions options)
      : runtime(runtime),
        options(std::move(options)),
        started(Runtime::Now()),
        table({.responsible_since = [this](std::string_view) {
          return std::optional<TimePoint>(this->is_first_send ? TimePoint::min()
                                                              : this->started);
        }}) {
    for (const PeerSettings& host : this->options.settings.hosts) {
      this->hosts.push_back(host.name);
    }
  }

  RecordResult RunHere(const FrontRequest& request);
  RecordResult WaitFor(const std::string& key,
                       WaiterId waiter,
                       TimePoint deadline);
  RecordResult RunAt(const HostId& host, const FrontRequest& request);
  tl::expected<std::string, std::string> OnCall(const std::string& body);

  Runtime& runtime;
  LookupServiceOptions options;
  TimePoint started;
  // Read by the table's hook, during Begin() alone.
  bool is_first_send = false;
  IdempotencyTable table;
  std::vector<HostId> hosts;
  std::map<WaiterId, std::shared_ptr<KeyWaiter>> waiters;
  WaiterId last_waiter = 0;
};

RecordResult LookupService::State::WaitFor(const std::string& key,
                                           WaiterId waiter,
                                           TimePoint deadline) {
  auto waiting = std::make_shared<KeyWaiter>(this->runtime);
  this->waiters.emplace(waiter, waiting);
  waiting->done.WaitUntil(deadline);
  if (waiting->result) {
    return std::move(*waiting->result);
  }
  this->waiters.erase(waiter);
  this->table.RemoveWaiter(key, waiter);
  return QueryRefusal{.status = kGatewayTimeout,
                      .title = "Still running",
                      .detail = "another send of this key still runs",
                      .outcome = RunOutcome::kUnknown,
                      .retry_after = kDefaultRetryAfter};
}

RecordResult LookupService::State::RunHere(const FrontRequest& request) {
  const std::string key = FullKey(request);
  const WaiterId waiter = ++this->last_waiter;
  this->is_first_send = request.first_send;
  BeginResult start = this->table.Begin(key, request.record_id, waiter,
                                        Runtime::Now(), request.deadline);
  this->is_first_send = false;
  if (start.decision == BeginDecision::kAnswer) {
    return std::move(*start.result);
  }
  if (start.decision == BeginDecision::kWait) {
    return this->WaitFor(key, waiter, request.deadline);
  }
  RecordResult result = this->options.run(request);
  for (const WaiterId other : this->table.Finish(key, result, Runtime::Now())) {
    const auto found = this->waiters.find(other);
    if (found != this->waiters.end()) {
      found->second->result = result;
      found->second->done.Set();
      this->waiters.erase(found);
    }
  }
  return result;
}

RecordResult LookupService::State::RunAt(const HostId& host,
                                         const FrontRequest& request) {
  PeerClient* peer = this->options.links.Find(host);
  if (peer == nullptr) {
    return Unreachable({.detail = "is not known here"}, request.first_send);
  }
  const LookupCall call{.front = request.front->name,
                        .tenant = request.tenant,
                        .request_class = request.request_class,
                        .tenant_weight = request.tenant_weight,
                        .class_weight = request.class_weight,
                        .request_id = request.request_id,
                        .idempotency_key = request.idempotency_key,
                        .record_id = request.record_id,
                        .first_send = request.first_send,
                        .remaining_ns = static_cast<uint64_t>(
                            (request.deadline - Runtime::Now()).count())};
  const auto bytes =
      peer->Call(PeerMessageType::kLookup, EncodeBytes(call), request.deadline);
  if (!bytes) {
    return Unreachable(bytes.error(), request.first_send);
  }
  auto reply = DecodeBytes<LookupReply>(*bytes);
  if (!reply) {
    return Unreachable({.written = true, .detail = reply.error()}, false);
  }
  return ToResult(std::move(*reply));
}

tl::expected<std::string, std::string> LookupService::State::OnCall(
    const std::string& body) {
  auto call = DecodeBytes<LookupCall>(body);
  if (!call) {
    return tl::unexpected(call.error());
  }
  const TimePoint now = Runtime::Now();
  FrontRequest request{.front = this->options.find_front(call->front),
                       .work = AttemptWork::kLookup,
                       .tenant = call->tenant,
                       .request_class = call->request_class,
                       .tenant_weight = call->tenant_weight,
                       .class_weight = call->class_weight,
                       .start = now,
                       .deadline = now + Duration(call->remaining_ns),
                       .request_id = call->request_id,
                       .idempotency_key = call->idempotency_key,
                       .first_send = call->first_send,
                       .record_id = call->record_id};
  if (request.front == nullptr) {
    return tl::unexpected(std::string("there is no such front here"));
  }
  return EncodeBytes(ToReply(this->RunHere(request)));
}

LookupService::LookupService(Runtime& runtime, LookupServiceOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

LookupService::~LookupService() = default;

void LookupService::Start() {
  this->state->options.links.OnCall(
      PeerMessageType::kLookup,
      [state = this->state](PeerMessageType, const std::string& body) {
        return state->OnCall(body);
      });
}

RecordResult LookupService::Run(const FrontRequest& request) {
  const TargetId key(FullKey(request));
  const HostId host = RendezvousOrder(key, this->state->hosts).front();
  return host == this->state->options.settings.name
             ? this->state->RunHere(request)
             : this->state->RunAt(host, request);
}

}  // namespace knapweedroad
