#include "knapweedroad/edge/control_follower.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/edge/heard_lists.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/registry/control_host_selection.h"
#include "knapweedroad/registry/control_host_table.h"
#include "knapweedroad/registry/control_hosts_view.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// A control host holds a call without news for about a second, that of another
// control host for a third of one.
constexpr Duration kCallTimeout = milliseconds(1600);
constexpr Duration kControlCallTimeout = milliseconds(800);
// A link on which nothing has come for this long is taken for dead. Calls of
// control hosts to each other are held shorter, so that a zone that is cut off
// knows it before its callers have waited long.
constexpr Duration kSilence = milliseconds(1500);
constexpr Duration kControlSilence = milliseconds(800);
constexpr Duration kPullTimeout = milliseconds(1500);
// A control host of another zone is asked for a text only after this: by then
// one of the own zone has told of it, too.
constexpr Duration kNearPull = milliseconds(150);
constexpr Duration kChooseInterval = milliseconds(150);
// While nobody has a quorum, one more control host is followed each time: an
// election takes less, and all hosts look for it together.
constexpr Duration kMoreLinksAfter = milliseconds(1000);
// Outcomes of one moment are reported together: a question has dozens.
constexpr Duration kReportGather = milliseconds(10);
constexpr Duration kReportTimeout = milliseconds(500);
// A host that reports nothing for this long looks whether it is still wanted.
constexpr Duration kReportWait = std::chrono::seconds(90);

// That there is something to report at once.
struct ReportWish {
  explicit ReportWish(Runtime& runtime) : is_wanted(runtime) {}

  TimedEvent is_wanted;
  // The host isn't followed any more.
  bool is_over = false;
};

uint64_t RankOf(const HostId& self, const HostId& host) {
  return XXH64(host.str().data(), host.str().size(),
               XXH64(self.str().data(), self.str().size(), 1));
}

}  // namespace

struct ControlFollower::State
    : std::enable_shared_from_this<ControlFollower::State> {
  State(Runtime& runtime, ControlFollowerOptions options)
      : runtime(runtime),
        options(std::move(options)),
        table({.self = this->options.self, .started = Runtime::Now()}) {}

  std::vector<HostId> Candidates() const;
  std::vector<HostId> Wanted(TimePoint now) const;
  // How many more may be followed while none of those followed has a quorum.
  size_t MoreLinks(TimePoint now) const {
    return static_cast<size_t>((now - this->quorum_heard) / kMoreLinksAfter);
  }
  void Choose();
  void NoteWanted(std::set<HostId> next, TimePoint now);
  void Follow(const HostId& host);
  bool Ask(PeerClient& peer,
           const HostId& host,
           WatchCall& call,
           HeardLists& lists);
  void PullFromNearest(PeerClient& peer, const HostId& host);
  void Pull(PeerClient& peer, const HostId& host);
  Duration CallTimeout() const {
    return this->options.role == FollowerRole::kControl ? kControlCallTimeout
                                                        : kCallTimeout;
  }
  void Failed(const HostId& host, const std::string& detail);
  // Reports to the host between its calls, until it isn't followed any more.
  void Report(PeerClient& peer, const HostId& host, ReportWish& wish);
  bool IsNear(const HostId& host) {
    return this->table.ZoneOf(host) == this->options.zone;
  }

  Runtime& runtime;
  ControlFollowerOptions options;
  ControlHostTable table;
  std::set<HostId> followed;
  std::set<HostId> wanted;
  // For each host followed.
  std::map<HostId, std::shared_ptr<PeerClient>> peers;
  std::map<HostId, std::shared_ptr<ReportWish>> report_wishes;
  // When a control host last said that it has a quorum.
  TimePoint quorum_heard = Runtime::Now();
  bool is_pulling = false;
  // The newest version that a control host told of.
  uint64_t told_version = 0;
  bool is_stopped = false;
};

std::vector<HostId> ControlFollower::State::Candidates() const {
  std::set<HostId> hosts;
  for (const HostId& seed : this->options.seeds()) {
    hosts.insert(seed);
  }
  const std::vector<HostId> known = this->table.Hosts();
  hosts.insert(known.begin(), known.end());
  hosts.erase(this->options.self);
  return {hosts.begin(), hosts.end()};
}

std::vector<HostId> ControlFollower::State::Wanted(TimePoint now) const {
  std::vector<HostId> hosts = this->Candidates();
  if (this->options.most_links == 0) {
    return hosts;
  }
  std::vector<ControlHostCandidate> candidates;
  size_t max_without_quorum = this->options.most_links + this->MoreLinks(now);
  for (const HostId& host : hosts) {
    ControlHostCandidate candidate = this->table.Candidate(host, now);
    candidate.rank = RankOf(this->options.self, host);
    if (candidate.is_unconfirmed) {
      // A minority without a quorum is smaller than this number of hosts, so
      // that one of them is outside it. Following more one by one would take
      // longer than a proof of freshness lasts.
      max_without_quorum = std::max(max_without_quorum, (hosts.size() + 1) / 2);
    }
    candidates.push_back(std::move(candidate));
  }
  return SelectControlHosts(
      candidates, {.zone = this->options.zone,
                   .max_selected = this->options.most_links,
                   .max_selected_without_quorum = max_without_quorum});
}

void ControlFollower::State::NoteWanted(std::set<HostId> next, TimePoint now) {
  if (next == this->wanted) {
    return;
  }
  this->wanted = std::move(next);
  std::string hosts;
  for (const HostId& host : this->wanted) {
    const ControlHostCandidate facts = this->table.Candidate(host, now);
    hosts += hosts.empty() ? "" : " ";
    hosts += host.str();
    hosts += facts.is_live ? "(live" : "(silent";
    hosts += facts.has_full_view ? ",hears_all" : "";
    hosts += facts.is_unconfirmed ? ",unconfirmed)" : ")";
  }
  LogLine("control_hosts_followed")
      .Add("hosts", hosts)
      .Add("held_version", this->options.held_version())
      .Info();
}

void ControlFollower::State::Choose() {
  while (!this->is_stopped) {
    const TimePoint now = Runtime::Now();
    this->table.Forget(now);
    const std::vector<HostId> hosts = this->Wanted(now);
    this->NoteWanted({hosts.begin(), hosts.end()}, now);
    for (const HostId& host : this->wanted) {
      if (this->followed.insert(host).second) {
        this->runtime.Spawn(
            [self = this->shared_from_this(), host] { self->Follow(host); });
      }
    }
    Runtime::SleepFor(kChooseInterval);
  }
}

void ControlFollower::State::Failed(const HostId& host,
                                    const std::string& detail) {
  if (this->table.OnFailure(host, Runtime::Now())) {
    LogLine("control_host_lost")
        .Add("host", host)
        .Add("detail", detail)
        .Warning();
  }
}

bool ControlFollower::State::Ask(PeerClient& peer,
                                 const HostId& host,
                                 WatchCall& call,
                                 HeardLists& lists) {
  call.agreed_version = this->options.held_version();
  call.shares_outcomes =
      this->options.take_outcomes != nullptr && this->IsNear(host);
  if (call.shares_outcomes) {
    call.outcomes = this->options.take_outcomes(host);
  }
  const auto bytes = peer.Call(PeerMessageType::kWatch, EncodePacked(call),
                               Runtime::Now() + this->CallTimeout());
  // The owner of the hooks may be gone.
  if (this->is_stopped) {
    return false;
  }
  if (!bytes) {
    this->Failed(host, bytes.error().detail);
    return false;
  }
  auto reply = DecodePacked<WatchReply>(*bytes);
  if (!reply) {
    this->Failed(host, reply.error());
    return false;
  }
  lists.Complete(*reply);
  const TimePoint now = Runtime::Now();
  if (this->table.OnReply(host, *reply, now)) {
    LogLine("control_host_found")
        .Add("host", host)
        .Add("agreed_version", reply->agreed_version)
        .Info();
  }
  for (const ControlHostRecord& other : reply->control_hosts) {
    this->table.OnMentioned(other.host, other.zone, now);
  }
  if (reply->has_quorum) {
    this->quorum_heard = now;
  }
  call.epoch = reply->epoch;
  call.revision = reply->revision;
  call.hosts_revision = reply->hosts_revision;
  call.outliers_revision = reply->outliers_revision;
  call.received_is_cut_off = reply->is_cut_off;
  call.received_has_full_view = reply->has_full_view;
  this->options.on_reply(host, *reply);
  this->told_version = std::max(this->told_version, reply->agreed_version);
  if (reply->agreed_version > this->options.held_version()) {
    this->PullFromNearest(peer, host);
  }
  return true;
}

// From the own zone where that is possible: texts are long, and bytes between
// zones are paid for. A host without any configuration refuses its callers and
// doesn't wait.
void ControlFollower::State::PullFromNearest(PeerClient& peer,
                                             const HostId& host) {
  const bool is_near = this->IsNear(host);
  const bool has_near = this->table.HasResponsiveHost(this->options.zone);
  const bool can_wait = this->options.held_version() > 0;
  if (!is_near && has_near && can_wait) {
    Runtime::SleepFor(kNearPull);
  }
  if (!this->is_stopped && this->table.IsResponsive(host)) {
    this->Pull(peer, host);
  }
}

// One at a time: several control hosts tell of a version at the same moment,
// and its text would come once from each.
void ControlFollower::State::Pull(PeerClient& peer, const HostId& host) {
  if (this->told_version <= this->options.held_version() ||
      std::exchange(this->is_pulling, true)) {
    return;
  }
  const PullCall call{.held_version = this->options.held_version()};
  const auto bytes = peer.Call(PeerMessageType::kPull, EncodeBytes(call),
                               Runtime::Now() + kPullTimeout);
  this->is_pulling = false;
  if (this->is_stopped) {
    return;
  }
  if (!bytes) {
    this->Failed(host, bytes.error().detail);
    return;
  }
  const auto reply = DecodePacked<PullReply>(*bytes);
  if (!reply) {
    this->Failed(host, reply.error());
  } else if (reply->agreed_version > this->options.held_version()) {
    this->options.on_agreed(reply->agreed_version, reply->agreed_text);
  }
}

void ControlFollower::State::Report(PeerClient& peer,
                                    const HostId& host,
                                    ReportWish& wish) {
  while (!this->is_stopped && !wish.is_over) {
    if (!wish.is_wanted.WaitUntil(Runtime::Now() + kReportWait)) {
      continue;
    }
    Runtime::SleepFor(kReportGather);
    if (this->is_stopped || wish.is_over || !this->IsNear(host)) {
      continue;
    }
    const OutcomeReport report{.role = this->options.role,
                               .outcomes = this->options.take_outcomes(host)};
    if (!report.outcomes.empty()) {
      peer.Call(PeerMessageType::kOutcomes, EncodePacked(report),
                Runtime::Now() + kReportTimeout);
    }
  }
}

void ControlFollower::State::Follow(const HostId& host) {
  // After an outage of all hosts, every pause of a follower is a pause of
  // callers; a refused connection costs next to nothing.
  constexpr Duration kFirstPause = milliseconds(50);
  constexpr Duration kLongestPause = milliseconds(100);
  const auto peer = std::make_shared<PeerClient>(
      this->runtime,
      PeerClientOptions{.endpoint = EndpointOf(host),
                        .silence = this->options.role == FollowerRole::kControl
                                       ? kControlSilence
                                       : kSilence});
  this->peers[host] = peer;
  const auto wish = std::make_shared<ReportWish>(this->runtime);
  if (this->options.take_outcomes != nullptr) {
    this->report_wishes[host] = wish;
    this->runtime.Spawn([self = this->shared_from_this(), peer, host, wish] {
      self->Report(*peer, host, *wish);
    });
  }
  WatchCall call{.follower = this->options.self,
                 .role = this->options.role,
                 .zone = this->options.zone,
                 .peer_address = this->options.peer_address};
  HeardLists lists;
  Duration pause = kFirstPause;
  while (!this->is_stopped && this->wanted.contains(host)) {
    if (this->Ask(*peer, host, call, lists)) {
      pause = kFirstPause;
      continue;
    }
    Runtime::SleepFor(pause);
    pause = std::min<Duration>(pause * 2, kLongestPause);
  }
  this->followed.erase(host);
  this->peers.erase(host);
  this->report_wishes.erase(host);
  wish->is_over = true;
  wish->is_wanted.Set();
}

ControlFollower::ControlFollower(Runtime& runtime,
                                 ControlFollowerOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

ControlFollower::~ControlFollower() {
  this->Stop();
}

void ControlFollower::Stop() {
  this->state->is_stopped = true;
  this->ReportSoon();
}

void ControlFollower::Start() {
  this->state->runtime.Spawn([state = this->state] { state->Choose(); });
}

void ControlFollower::ReportSoon() {
  for (const auto& [host, wish] : this->state->report_wishes) {
    wish->is_wanted.Set();
  }
}

std::vector<HostId> ControlFollower::LiveHosts() const {
  std::vector<HostId> hosts;
  for (const ControlHostRecord& record : this->LiveRecords()) {
    hosts.push_back(record.host);
  }
  return hosts;
}

std::vector<ControlHostRecord> ControlFollower::LiveRecords() const {
  return this->state->table.Live(Runtime::Now());
}

std::vector<HostId> ControlFollower::KnownHosts() const {
  return this->state->Candidates();
}

std::vector<HostId> ControlFollower::ResponsiveHosts() const {
  const State& self = *this->state;
  const TimePoint now = Runtime::Now();
  std::vector<ControlHostCandidate> responsive;
  for (const auto& [host, peer] : self.peers) {
    if (self.table.IsResponsive(host)) {
      responsive.push_back(self.table.Candidate(host, now));
      responsive.back().rank = RankOf(self.options.self, host);
    }
  }
  std::ranges::sort(responsive, {}, [&](const ControlHostCandidate& candidate) {
    return std::tuple(candidate.is_unconfirmed,
                      candidate.zone != self.options.zone,
                      !candidate.has_quorum, candidate.rank);
  });
  std::vector<HostId> hosts;
  hosts.reserve(responsive.size());
  for (const ControlHostCandidate& candidate : responsive) {
    hosts.push_back(candidate.host);
  }
  return hosts;
}

tl::expected<std::string, NetError> ControlFollower::Call(const HostId& host,
                                                          PeerMessageType type,
                                                          std::string_view body,
                                                          TimePoint deadline) {
  const auto found = this->state->peers.find(host);
  if (found == this->state->peers.end()) {
    return tl::unexpected(NetError{.detail = "the host isn't followed"});
  }
  const std::shared_ptr<PeerClient> peer = found->second;
  return peer->Call(type, body, deadline);
}

void ControlFollower::NoteConfirmation(const HostId& host, bool is_confirmed) {
  this->state->table.OnConfirmation(host, is_confirmed, Runtime::Now());
}

size_t ControlFollower::followed() const {
  return this->state->wanted.size();
}

ControlHostsView ControlFollower::View() const {
  const ControlHostTable& table = this->state->table;
  const TimePoint now = Runtime::Now();
  return {.has_full_view = table.HasFullView(now),
          .unreachable = table.DescribeUnreachable(now),
          .quorum_age = table.QuorumAge(now)};
}

bool ControlFollower::HasQuorum() const {
  return this->state->table.HasQuorum(Runtime::Now());
}

void ControlFollower::Hear(const HostId& host) {
  this->state->table.OnCall(host, Runtime::Now());
}

void ControlFollower::HearQuorum(TimePoint asked) {
  this->state->table.OnQuorum(asked);
}

}  // namespace knapweedroad
