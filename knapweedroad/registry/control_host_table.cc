#include "knapweedroad/registry/control_host_table.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/registry/control_host_selection.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

// A failed control host is retried after this time; another one is followed
// meanwhile.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(1000);
// A control host that has neither responded nor been mentioned for this long
// has been decommissioned.
constexpr Duration kRetention = std::chrono::seconds(90);
constexpr Duration kLiveTimeout = std::chrono::milliseconds(2500);
// A control host that no host has seen for this long is down or decommissioned.
constexpr Duration kMissingHostWindow = std::chrono::seconds(10);
// A quorum is queried at least twice in this time.
constexpr Duration kQuorumTimeout = std::chrono::milliseconds(2500);
// The host in use is asked several times in this time.
constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(1500);
// A host that has just started hasn't discovered all others yet.
constexpr Duration kStartupGracePeriod = std::chrono::seconds(3);

}  // namespace

bool ControlHostTable::HostState::IsLive(TimePoint now) const {
  return this->is_responsive && now - this->last_seen < kLiveTimeout;
}

ControlHostTable::ControlHostTable(ControlHostTableOptions options)
    : options(std::move(options)) {}

bool ControlHostTable::OnReply(const HostId& host,
                               const WatchReply& reply,
                               TimePoint now) {
  HostState& state = this->hosts[host];
  state.last_seen = now;
  state.last_failure = TimePoint();
  state.zone = reply.zone;
  state.has_full_view = reply.has_full_view;
  state.has_quorum = reply.has_quorum;
  return !std::exchange(state.is_responsive, true);
}

bool ControlHostTable::OnFailure(const HostId& host, TimePoint now) {
  HostState& state = this->hosts[host];
  state.last_failure = now;
  return std::exchange(state.is_responsive, false);
}

void ControlHostTable::OnMentioned(const HostId& host,
                                   const ZoneId& zone,
                                   TimePoint now) {
  if (host == this->options.self) {
    return;
  }
  HostState& state = this->hosts[host];
  state.last_seen = now;
  state.zone = zone;
}

void ControlHostTable::OnCall(const HostId& host, TimePoint now) {
  this->hosts[host].last_seen = now;
}

void ControlHostTable::OnConfirmation(const HostId& host,
                                      bool is_confirmed,
                                      TimePoint now) {
  const auto found = this->hosts.find(host);
  if (found != this->hosts.end()) {
    found->second.is_unconfirmed = !is_confirmed;
    found->second.last_confirmed = is_confirmed ? now : TimePoint();
  }
}

void ControlHostTable::Forget(TimePoint now) {
  std::erase_if(this->hosts, [now](const auto& entry) {
    const TimePoint last_seen = entry.second.last_seen;
    return last_seen != TimePoint() && now - last_seen > kRetention;
  });
}

std::vector<ControlHostRecord> ControlHostTable::Live(TimePoint now) const {
  std::vector<ControlHostRecord> live;
  for (const auto& [host, state] : this->hosts) {
    if (state.IsLive(now)) {
      live.push_back({.host = host, .zone = state.zone});
    }
  }
  return live;
}

std::string ControlHostTable::DescribeUnreachable(TimePoint now) const {
  std::string hosts;
  for (const auto& [host, state] : this->hosts) {
    if (!state.IsLive(now)) {
      hosts += hosts.empty() ? "" : " ";
      hosts += host.str();
    }
  }
  return hosts;
}

std::vector<HostId> ControlHostTable::Hosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, state] : this->hosts) {
    hosts.push_back(host);
  }
  return hosts;
}

ZoneId ControlHostTable::ZoneOf(const HostId& host) const {
  const auto found = this->hosts.find(host);
  return found == this->hosts.end() ? ZoneId() : found->second.zone;
}

bool ControlHostTable::HasResponsiveHost(const ZoneId& zone) const {
  return std::ranges::any_of(this->hosts, [&](const auto& entry) {
    return entry.second.is_responsive && entry.second.zone == zone;
  });
}

bool ControlHostTable::IsResponsive(const HostId& host) const {
  const auto found = this->hosts.find(host);
  return found != this->hosts.end() && found->second.is_responsive;
}

ControlHostCandidate ControlHostTable::Candidate(const HostId& host,
                                                 TimePoint now) const {
  ControlHostCandidate candidate{.host = host};
  const auto found = this->hosts.find(host);
  if (found != this->hosts.end()) {
    const HostState& state = found->second;
    candidate.zone = state.zone;
    candidate.is_live = state.IsLive(now);
    candidate.failed_recently = now - state.last_failure < kFailureBackoff;
    candidate.has_full_view = state.has_full_view;
    candidate.has_quorum = state.has_quorum;
    candidate.is_confirmed = now - state.last_confirmed < kConfirmationTimeout;
    candidate.is_unconfirmed = state.is_unconfirmed;
  }
  return candidate;
}

// A missing reply alone doesn't distinguish a host that is partitioned from the
// others from one whose peers were decommissioned. A quorum does: it is never
// on the minority side.
bool ControlHostTable::HasFullView(TimePoint now) const {
  if (now - this->options.started < kStartupGracePeriod ||
      !this->HasQuorum(now)) {
    return false;
  }
  return std::ranges::none_of(this->hosts, [now](const auto& entry) {
    const HostState& state = entry.second;
    return !state.IsLive(now) && now - state.last_seen < kMissingHostWindow;
  });
}

bool ControlHostTable::HasQuorum(TimePoint now) const {
  return this->last_quorum_query &&
         now - *this->last_quorum_query < kQuorumTimeout;
}

std::optional<Duration> ControlHostTable::QuorumAge(TimePoint now) const {
  if (!this->last_quorum_query) {
    return std::nullopt;
  }
  return now - *this->last_quorum_query;
}

}  // namespace knapweedroad
