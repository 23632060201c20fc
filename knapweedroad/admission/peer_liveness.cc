#include "knapweedroad/admission/peer_liveness.h"

#include <algorithm>
#include <cstddef>

namespace knapweedroad {

Duration PeerLiveness::MaxWorkTime() const {
  return this->options.timing.LocalUpperBound(
      this->options.timing.max_work_time);
}

void PeerLiveness::OnReply(const HostId& host,
                           TimePoint sent_at,
                           TimePoint now) {
  TimePoint& latest = this->answered_request_sent_at[host];
  latest = std::max(latest, sent_at);
  this->first_reply_at.try_emplace(host, now);
}

// A final request may be delayed past a restart of this host or of its sender.
// It must not make a running host count as stopped, so it is accepted only if
// the previous request of that host had the same incarnation.
void PeerLiveness::OnRequest(const HostId& host,
                             uint64_t incarnation,
                             bool is_final,
                             TimePoint now) {
  LastRequest& last = this->last_requests[host];
  const bool same_incarnation = last.incarnation == incarnation;
  last = {.incarnation = incarnation, .received_at = now};
  if (!is_final) {
    this->stopped_from.erase(host);
  } else if (same_incarnation) {
    this->stopped_from[host] = now;
  }
}

void PeerLiveness::OnConnectionRefused(const HostId& host,
                                       TimePoint attempted_at,
                                       TimePoint now) {
  const auto found = this->last_requests.find(host);
  if (found != this->last_requests.end() &&
      found->second.received_at >= attempted_at) {
    return;
  }
  this->stopped_from.try_emplace(host, now + this->MaxWorkTime());
}

bool PeerLiveness::ReachesMajority(TimePoint now) const {
  const std::size_t needed = this->options.voters.size() / 2 + 1;
  const auto replied_recently = [&](const HostId& host) {
    const auto found = this->answered_request_sent_at.find(host);
    return found != this->answered_request_sent_at.end() &&
           now - found->second <= this->options.timing.length;
  };
  const auto& voters = this->options.voters;
  return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(),
                                                replied_recently)) >= needed;
}

bool PeerLiveness::IsIsolated(TimePoint now) const {
  return now - this->options.started > this->options.timing.length &&
         !this->ReachesMajority(now);
}

// A holder may take over the part of a host that is known not to be running. A
// host of the zone that hasn't replied to this incarnation yet may have taken
// over this host's part, and the attempts that it sent under it may still run
// for the longest work time after its first reply.
bool PeerLiveness::MayUseOwnPart(TimePoint now) const {
  const auto work_has_ended = [&](const HostId& host) {
    const auto found = this->first_reply_at.find(host);
    return host == this->options.self ||
           (found != this->first_reply_at.end() &&
            now >= found->second + this->MaxWorkTime());
  };
  const auto& hosts = this->options.zone_hosts;
  return this->IsIsolated(now) &&
         std::all_of(hosts.begin(), hosts.end(), work_has_ended);
}

TimePoint PeerLiveness::StoppedFrom(const HostId& host) const {
  const auto found = this->stopped_from.find(host);
  return found == this->stopped_from.end() ? TimePoint::max() : found->second;
}

}  // namespace knapweedroad
