#include "knapweedroad/registry/control_host_table.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/registry/follow_plan.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

// A control host that failed is tried again after this long, and another one
// is followed meanwhile.
constexpr Duration kAvoidAfterFailure = std::chrono::milliseconds(1000);
// A control host that hasn't answered for this long, and isn't named by
// another, has been taken away.
constexpr Duration kForgetAfter = std::chrono::seconds(90);
constexpr Duration kLiveWithin = std::chrono::milliseconds(2500);
// One that nobody has heard for this long is down or has been taken away.
constexpr Duration kMissedWithin = std::chrono::seconds(10);
// A quorum is asked at least twice in this time.
constexpr Duration kQuorumWithin = std::chrono::milliseconds(2500);
// A host that has just started hasn't heard of all others yet.
constexpr Duration kStartSettles = std::chrono::seconds(3);

}  // namespace

bool ControlHostTable::Known::IsLive(TimePoint now) const {
  return this->is_answering && now - this->heard < kLiveWithin;
}

ControlHostTable::ControlHostTable(ControlHostTableOptions options)
    : options(std::move(options)) {}

bool ControlHostTable::OnReply(const HostId& host,
                               const WatchReply& reply,
                               TimePoint now) {
  Known& facts = this->known[host];
  facts.heard = now;
  facts.failed = TimePoint();
  facts.zone = reply.zone;
  facts.hears_all = reply.hears_all;
  facts.has_quorum = reply.has_quorum;
  return !std::exchange(facts.is_answering, true);
}

bool ControlHostTable::OnFailure(const HostId& host, TimePoint now) {
  Known& facts = this->known[host];
  facts.failed = now;
  return std::exchange(facts.is_answering, false);
}

void ControlHostTable::OnNamed(const HostId& host,
                               const ZoneId& zone,
                               TimePoint now) {
  if (host == this->options.self) {
    return;
  }
  Known& facts = this->known[host];
  facts.heard = now;
  facts.zone = zone;
}

void ControlHostTable::OnCall(const HostId& host, TimePoint now) {
  this->known[host].heard = now;
}

void ControlHostTable::Forget(TimePoint now) {
  std::erase_if(this->known, [now](const auto& entry) {
    const TimePoint heard = entry.second.heard;
    return heard != TimePoint() && now - heard > kForgetAfter;
  });
}

std::vector<ControlHostRecord> ControlHostTable::Live(TimePoint now) const {
  std::vector<ControlHostRecord> live;
  for (const auto& [host, facts] : this->known) {
    if (facts.IsLive(now)) {
      live.push_back({.host = host, .zone = facts.zone});
    }
  }
  return live;
}

std::string ControlHostTable::DescribeLost(TimePoint now) const {
  std::string hosts;
  for (const auto& [host, facts] : this->known) {
    if (!facts.IsLive(now)) {
      hosts += hosts.empty() ? "" : " ";
      hosts += host.str();
    }
  }
  return hosts;
}

std::vector<HostId> ControlHostTable::Hosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, facts] : this->known) {
    hosts.push_back(host);
  }
  return hosts;
}

ZoneId ControlHostTable::ZoneOf(const HostId& host) const {
  const auto found = this->known.find(host);
  return found == this->known.end() ? ZoneId() : found->second.zone;
}

bool ControlHostTable::HasAnswering(const ZoneId& zone) const {
  return std::ranges::any_of(this->known, [&](const auto& entry) {
    return entry.second.is_answering && entry.second.zone == zone;
  });
}

bool ControlHostTable::IsAnswering(const HostId& host) const {
  const auto found = this->known.find(host);
  return found != this->known.end() && found->second.is_answering;
}

FollowCandidate ControlHostTable::Candidate(const HostId& host,
                                            TimePoint now) const {
  FollowCandidate candidate{.host = host};
  const auto found = this->known.find(host);
  if (found != this->known.end()) {
    const Known& facts = found->second;
    candidate.zone = facts.zone;
    candidate.is_live = facts.IsLive(now);
    candidate.failed_lately = now - facts.failed < kAvoidAfterFailure;
    candidate.hears_all = facts.hears_all;
    candidate.has_quorum = facts.has_quorum;
  }
  return candidate;
}

// Silence alone doesn't tell a host that has lost the others from one whose
// others were taken away. A quorum does: it is never in a minority.
bool ControlHostTable::HearsAll(TimePoint now) const {
  if (now - this->options.started < kStartSettles || !this->HasQuorum(now)) {
    return false;
  }
  return std::ranges::none_of(this->known, [now](const auto& entry) {
    const Known& facts = entry.second;
    return !facts.IsLive(now) && now - facts.heard < kMissedWithin;
  });
}

bool ControlHostTable::HasQuorum(TimePoint now) const {
  return this->quorum && now - *this->quorum < kQuorumWithin;
}

std::optional<Duration> ControlHostTable::QuorumAge(TimePoint now) const {
  if (!this->quorum) {
    return std::nullopt;
  }
  return now - *this->quorum;
}

}  // namespace knapweedroad
