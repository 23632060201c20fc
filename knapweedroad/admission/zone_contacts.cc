#include "knapweedroad/admission/zone_contacts.h"

#include <algorithm>
#include <cstddef>

namespace knapweedroad {

Duration ZoneContacts::LongestWork() const {
  return this->options.timing.Stretched(this->options.timing.max_work_time);
}

void ZoneContacts::OnAnswered(const HostId& host,
                              TimePoint sent,
                              TimePoint now) {
  TimePoint& latest = this->answered[host];
  latest = std::max(latest, sent);
  this->greeted.try_emplace(host, now);
}

// A goodbye that was delayed past a restart of this host, or of the one it is
// from, may not make a host that runs count as stopped: it is believed of the
// incarnation that was last heard only.
void ZoneContacts::OnRequest(const HostId& host,
                             uint64_t incarnation,
                             bool goodbye,
                             TimePoint now) {
  Heard& heard = this->heard[host];
  const bool known = heard.incarnation == incarnation;
  heard = {.incarnation = incarnation, .at = now};
  if (!goodbye) {
    this->stopped.erase(host);
  } else if (known) {
    this->stopped[host] = now;
  }
}

void ZoneContacts::OnRefused(const HostId& host,
                             TimePoint attempted,
                             TimePoint now) {
  const auto found = this->heard.find(host);
  if (found != this->heard.end() && found->second.at >= attempted) {
    return;
  }
  this->stopped.try_emplace(host, now + this->LongestWork());
}

bool ZoneContacts::ReachesMajority(TimePoint now) const {
  const std::size_t needed = this->options.electorate.size() / 2 + 1;
  const auto recent = [&](const HostId& host) {
    const auto found = this->answered.find(host);
    return found != this->answered.end() &&
           now - found->second <= this->options.timing.length;
  };
  const auto& voters = this->options.electorate;
  return static_cast<std::size_t>(
             std::count_if(voters.begin(), voters.end(), recent)) >= needed;
}

bool ZoneContacts::Isolated(TimePoint now) const {
  return now - this->options.started > this->options.timing.length &&
         !this->ReachesMajority(now);
}

// A holder may take the part of a host that it knows not to run. Until every
// host of the zone has answered this incarnation, one of them may do so with
// this host's part; and until its work has ended after that, it is still there.
bool ZoneContacts::MayActIsolated(TimePoint now) const {
  const auto done = [&](const HostId& host) {
    const auto found = this->greeted.find(host);
    return host == this->options.self ||
           (found != this->greeted.end() &&
            now >= found->second + this->LongestWork());
  };
  const auto& hosts = this->options.zone_hosts;
  return this->Isolated(now) && std::all_of(hosts.begin(), hosts.end(), done);
}

TimePoint ZoneContacts::StoppedFrom(const HostId& host) const {
  const auto found = this->stopped.find(host);
  return found == this->stopped.end() ? TimePoint::max() : found->second;
}

}  // namespace knapweedroad
