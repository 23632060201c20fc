#include "knapweedroad/admission/zone_leases.h"

#include <optional>
#include <utility>

#include "knapweedroad/admission/rendezvous.h"

namespace knapweedroad {

ZoneLeases::ZoneLeases(const Options& options)
    : self(options.self),
      grantor({.self = options.self,
               .timing = options.timing,
               .started = options.started}),
      holder(HolderOptions(options)) {}

LeaseHolder::Options ZoneLeases::HolderOptions(const Options& options) {
  return {.self = options.self,
          .incarnation = options.incarnation,
          .started = options.started,
          .zone_hosts = HostsOfZone(options.zone, options.hosts),
          .voters = LeaseVoters(options.zone, options.hosts),
          .timing = options.timing,
          .retry_interval = options.retry_interval,
          .handover_delay = options.handover_delay,
          .max_handovers = options.max_handovers};
}

void ZoneLeases::SetTargets(std::span<const LeaseTarget> targets,
                            TimePoint now) {
  this->holder.SetTargets(targets, now);
}

void ZoneLeases::SetEligibleHosts(std::span<const HostId> hosts,
                                  TimePoint now) {
  this->holder.SetEligibleHosts(hosts, now);
}

void ZoneLeases::OnDrained(const TargetId& target) {
  this->holder.OnDrained(target);
}

void ZoneLeases::OnConnectionRefused(const HostId& host,
                                     TimePoint attempted_at,
                                     TimePoint now) {
  this->holder.OnConnectionRefused(host, attempted_at, now);
}

void ZoneLeases::Leave() {
  this->holder.Leave();
}

ZoneLeases::Actions ZoneLeases::OnRequest(const LeaseRequest& request,
                                          TimePoint now) {
  Actions actions;
  std::optional<LeaseReply> reply = this->grantor.OnRequest(request, now);
  if (!reply) {
    return actions;
  }
  this->holder.OnPeerRequest(request, now);
  this->AdvanceHolder(now, actions);
  actions.replies.push_back({.to = request.holder, .reply = *std::move(reply)});
  return actions;
}

ZoneLeases::Actions ZoneLeases::OnReply(const LeaseReply& reply,
                                        TimePoint now) {
  Actions actions;
  this->holder.OnReply(reply, now);
  this->AdvanceHolder(now, actions);
  return actions;
}

ZoneLeases::Actions ZoneLeases::Tick(TimePoint now) {
  Actions actions;
  this->AdvanceHolder(now, actions);
  return actions;
}

// Runs the holder until it is idle. Requests to this host itself go directly to
// its grantor.
void ZoneLeases::AdvanceHolder(TimePoint now, Actions& actions) {
  bool self_replied = true;
  while (self_replied) {
    self_replied = false;
    LeaseActions holder_actions = this->holder.Tick(now);
    for (auto& change : holder_actions.shares) {
      actions.shares.push_back(std::move(change));
    }
    for (auto& message : holder_actions.messages) {
      if (message.to != this->self) {
        actions.requests.push_back(std::move(message));
        continue;
      }
      if (auto reply = this->grantor.OnRequest(message.request, now)) {
        this->holder.OnReply(*reply, now);
        self_replied = true;
      }
    }
  }
}

}  // namespace knapweedroad
