#include "knapweedroad/host/lease_service.h"

#include <utility>
#include <variant>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/host/target_table.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

// Requests and replies share one kind of datagram.
using LeaseMessage = std::variant<LeaseRequest, LeaseReply>;

constexpr Duration kLeaseLength = 1500ms;
// Shares, drained targets and hosts that come and go are looked at so often.
constexpr Duration kTickInterval = 25ms;

ZoneLeases::Options LeaseOptions(const LeaseServiceOptions& options) {
  return {.self = options.settings.name,
          .zone = options.settings.zone,
          .hosts = options.settings.hosts,
          .incarnation = options.incarnation,
          .started = Runtime::Now(),
          .timing = {.length = kLeaseLength, .max_work_time = kMaxWorkTime}};
}

}  // namespace

LeaseService::LeaseService(Runtime& runtime, LeaseServiceOptions options)
    : runtime(runtime), options(options), leases(LeaseOptions(options)) {}

void LeaseService::Start() {
  this->options.links.OnDatagram(
      PeerMessageType::kLease,
      [this](std::string_view body) { this->Hear(body); });
  this->options.links.OnRefused(
      [this](const HostId& host, TimePoint attempted) {
        this->leases.OnConnectionRefused(host, attempted, Runtime::Now());
      });
  this->runtime.Spawn([this] { this->Loop(); });
}

void LeaseService::Hear(std::string_view body) {
  const auto message = DecodeBytes<LeaseMessage>(body);
  if (!message) {
    return;
  }
  const TimePoint now = Runtime::Now();
  if (const auto* request = std::get_if<LeaseRequest>(&*message)) {
    if (request->is_final) {
      this->options.view.OnShutdown(request->holder, request->incarnation);
    }
    this->Perform(this->leases.OnRequest(*request, now));
  } else {
    this->Perform(this->leases.OnReply(std::get<LeaseReply>(*message), now));
  }
}

void LeaseService::Perform(const ZoneLeases::Actions& actions) {
  for (const auto& change : actions.shares) {
    this->options.targets.SetShare(change.target, change.share);
  }
  for (const auto& request : actions.requests) {
    this->options.links.Send(request.to, PeerMessageType::kLease,
                             EncodeBytes(LeaseMessage(request.request)));
  }
  for (const auto& reply : actions.replies) {
    this->options.links.Send(reply.to, PeerMessageType::kLease,
                             EncodeBytes(LeaseMessage(reply.reply)));
  }
}

void LeaseService::Tick(TimePoint now) {
  this->leases.SetTargets(this->options.targets.LeaseTargets(), now);
  std::vector<HostId> eligible =
      this->options.view.LeaseCandidates(this->options.settings.zone, now);
  if (!this->is_leaving) {
    eligible.push_back(this->options.settings.name);
  }
  this->leases.SetEligibleHosts(eligible, now);
  for (const TargetId& target : this->options.targets.Drained()) {
    this->leases.OnDrained(target);
  }
  this->Perform(this->leases.Tick(now));
}

void LeaseService::Loop() {
  while (!this->leases.has_left()) {
    this->Tick(Runtime::Now());
    Runtime::SleepFor(kTickInterval);
  }
}

void LeaseService::Leave(TimePoint deadline) {
  this->is_leaving = true;
  this->leases.Leave();
  while (!this->leases.has_left() && Runtime::Now() < deadline) {
    Runtime::SleepFor(kTickInterval);
  }
  LogLine("leases_left").Add("handed_over", this->leases.has_left()).Info();
}

bool LeaseService::CanHold(TimePoint now) const {
  return !this->is_leaving && this->leases.ReachesMajority(now);
}

std::vector<HeldTarget> LeaseService::Held(TimePoint now) const {
  return this->options.targets.Held(now, !this->leases.ReachesMajority(now));
}

}  // namespace knapweedroad
