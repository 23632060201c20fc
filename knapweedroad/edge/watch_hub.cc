#include "knapweedroad/edge/watch_hub.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_set>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/reply_cache.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/registry/outlier_detector.h"
#include "knapweedroad/registry/target_registry.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// How long a call without news is held.
constexpr Duration kHold = milliseconds(1000);
constexpr Duration kControlHold = milliseconds(350);
// News of the same moment goes out together: at a start, dozens of targets
// announce themselves within a few milliseconds of each other.
constexpr Duration kGather = milliseconds(10);
// The same for followers in other zones, as each reply is bytes between zones;
// a new agreed version doesn't wait.
constexpr Duration kFarGather = milliseconds(150);
// Entry hosts that come and go are told of together: when hundreds start, each
// would else make the whole list go to all the others.
constexpr Duration kEntryHostsInterval = milliseconds(400);
// A follower that hasn't called for this long is gone.
constexpr Duration kFollowerTimeout = milliseconds(3500);

uint64_t RandomEpoch() {
  std::random_device device;
  uint64_t epoch = 0;
  while (epoch == 0) {
    epoch = (uint64_t{device()} << 32) | device();
  }
  return epoch;
}

struct OtherEntryHosts {
  std::vector<EntryHostRecord> hosts;
  TimePoint heard;
};

struct EntryFollower {
  EntryHostRecord record;
  TimePoint heard;
};

}  // namespace

struct WatchHub::State : std::enable_shared_from_this<WatchHub::State> {
  State(Runtime& runtime, WatchHubOptions options)
      : runtime(runtime), options(std::move(options)), epoch(RandomEpoch()) {}

  bool HasNews(const WatchCall& call) const;
  // Whether the follower is told of outliers, and the revision of its list.
  static bool HearsOutliers(const WatchCall& call) {
    return call.shares_outcomes || call.role == FollowerRole::kControl;
  }
  uint64_t OutliersRevision(FollowerRole role) const;
  // How long news for the follower is gathered before it is told.
  Duration GatherTime(const WatchCall& call) const;
  WatchReply MakeReply(const WatchCall& call) const;
  ReplyKey KeyOf(const WatchCall& call) const;
  std::string EncodeReply(const WatchCall& call);
  std::vector<EntryHostRecord> OwnEntryHosts() const;
  std::vector<EntryHostRecord> AllEntryHosts() const;
  void HearEntryHost(const WatchCall& call, TimePoint now);
  void NoteHosts(TimePoint now);

  Runtime& runtime;
  WatchHubOptions options;
  uint64_t epoch;
  uint64_t hosts_revision = 1;
  std::map<HostId, EntryFollower> entry_followers;
  std::map<HostId, OtherEntryHosts> others;
  // As of `hosts_revision`: all, and those that follow this control host.
  VersionedList<EntryHostRecord, HostId> told_entry_hosts;
  VersionedList<EntryHostRecord, HostId> told_own_entry_hosts;
  std::vector<ControlHostRecord> told_control_hosts;
  TimePoint hosts_told;
  std::unordered_set<std::shared_ptr<TimedEvent>> waiting;
  ReplyCache replies;
  // What `options` refers to may be gone.
  bool is_stopped = false;
};

uint64_t WatchHub::State::OutliersRevision(FollowerRole role) const {
  const OutlierDetector& detector = this->options.detector;
  return role == FollowerRole::kControl ? detector.own_revision()
                                        : detector.revision();
}

bool WatchHub::State::HasNews(const WatchCall& call) const {
  const bool is_entry = call.role == FollowerRole::kEntry;
  return call.epoch != this->epoch ||
         call.revision < this->options.registry.revision() ||
         call.hosts_revision < this->hosts_revision ||
         (HearsOutliers(call) &&
          call.outliers_revision != this->OutliersRevision(call.role)) ||
         (is_entry && call.shares_outcomes &&
          call.received_is_cut_off != this->options.is_cut_off()) ||
         (is_entry &&
          call.received_has_full_view != this->options.hears_all()) ||
         call.agreed_version < this->options.agreed_version();
}

Duration WatchHub::State::GatherTime(const WatchCall& call) const {
  const bool is_near = call.zone == this->options.zone;
  const bool is_hurried = call.agreed_version < this->options.agreed_version();
  return is_near || is_hurried ? kGather : kFarGather;
}

std::vector<EntryHostRecord> WatchHub::State::OwnEntryHosts() const {
  std::vector<EntryHostRecord> hosts;
  for (const auto& [host, follower] : this->entry_followers) {
    hosts.push_back(follower.record);
  }
  return hosts;
}

std::vector<EntryHostRecord> WatchHub::State::AllEntryHosts() const {
  std::map<HostId, EntryHostRecord> hosts;
  for (const auto& [host, follower] : this->entry_followers) {
    hosts.emplace(host, follower.record);
  }
  for (const auto& [control_host, entry] : this->others) {
    for (const EntryHostRecord& record : entry.hosts) {
      hosts.emplace(record.host, record);
    }
  }
  std::vector<EntryHostRecord> all;
  all.reserve(hosts.size());
  for (auto& [host, record] : hosts) {
    all.push_back(std::move(record));
  }
  return all;
}

void WatchHub::State::HearEntryHost(const WatchCall& call, TimePoint now) {
  const auto [place, is_new] = this->entry_followers.try_emplace(call.follower);
  place->second = {.record = {.host = call.follower,
                              .zone = call.zone,
                              .peer_address = call.peer_address},
                   .heard = now};
  if (is_new) {
    LogLine("entry_host_found").Add("host", call.follower).Info();
  }
}

void WatchHub::State::NoteHosts(TimePoint now) {
  std::vector<ControlHostRecord> control = this->options.control_hosts();
  const bool is_control_same = control == this->told_control_hosts;
  if (is_control_same && now - this->hosts_told < kEntryHostsInterval) {
    return;
  }
  std::vector<EntryHostRecord> entry = this->AllEntryHosts();
  std::vector<EntryHostRecord> own = this->OwnEntryHosts();
  if (is_control_same && entry == this->told_entry_hosts.items() &&
      own == this->told_own_entry_hosts.items()) {
    return;
  }
  this->hosts_told = now;
  LogLine("hosts_changed")
      .Add("entry_hosts", entry.size())
      .Add("control_hosts", control.size())
      .Info();
  ++this->hosts_revision;
  this->told_entry_hosts.Set(std::move(entry), this->hosts_revision);
  this->told_own_entry_hosts.Set(std::move(own), this->hosts_revision);
  this->told_control_hosts = std::move(control);
}

WatchReply WatchHub::State::MakeReply(const WatchCall& call) const {
  const bool is_same = call.epoch == this->epoch;
  WatchReply reply{.zone = this->options.zone,
                   .epoch = this->epoch,
                   .revision = this->options.registry.revision(),
                   .hosts_revision = this->hosts_revision,
                   .agreed_version = this->options.agreed_version()};
  reply.targets = this->options.registry.ChangedSince(
      is_same ? call.revision : 0, Runtime::Now());
  const bool is_control = call.role == FollowerRole::kControl;
  reply.has_hosts = !is_same || call.hosts_revision < this->hosts_revision;
  if (reply.has_hosts) {
    reply.control_hosts = this->told_control_hosts;
    reply.entry_hosts =
        (is_control ? this->told_own_entry_hosts : this->told_entry_hosts)
            .DeltaSince(is_same ? call.hosts_revision : 0);
  }
  reply.is_cut_off = this->options.is_cut_off();
  reply.has_full_view = this->options.hears_all();
  reply.has_quorum = this->options.has_quorum();
  const uint64_t outliers_revision = this->OutliersRevision(call.role);
  reply.has_outliers =
      HearsOutliers(call) &&
      (!is_same || call.outliers_revision != outliers_revision);
  // A follower that isn't told has none, whatever the list's revision is.
  reply.outliers_revision =
      HearsOutliers(call) ? outliers_revision : uint64_t{0};
  if (reply.has_outliers) {
    const OutlierDetector& detector = this->options.detector;
    const uint64_t held = is_same ? call.outliers_revision : 0;
    reply.outliers =
        is_control ? detector.OwnDeltaSince(held) : detector.DeltaSince(held);
  }
  return reply;
}

ReplyKey WatchHub::State::KeyOf(const WatchCall& call) const {
  const bool is_same = call.epoch == this->epoch;
  return {.role = call.role,
          .shares_outcomes = call.shares_outcomes,
          .is_cut_off = this->options.is_cut_off(),
          .hears_all = this->options.hears_all(),
          .has_quorum = this->options.has_quorum(),
          .from = {.targets = is_same ? call.revision : 0,
                   .hosts = is_same ? call.hosts_revision : 0,
                   .outliers = is_same ? call.outliers_revision : 0},
          .to = {.targets = this->options.registry.revision(),
                 .hosts = this->hosts_revision,
                 .outliers = this->OutliersRevision(call.role)},
          .agreed_version = this->options.agreed_version()};
}

std::string WatchHub::State::EncodeReply(const WatchCall& call) {
  return this->replies.Get(this->KeyOf(call), Runtime::Now(),
                           [&] { return EncodePacked(this->MakeReply(call)); });
}

WatchHub::WatchHub(Runtime& runtime, WatchHubOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

WatchHub::~WatchHub() {
  this->Stop();
}

void WatchHub::Stop() {
  this->state->is_stopped = true;
  this->Wake();
}

std::string WatchHub::Answer(const WatchCall& call) {
  const auto self = this->state;
  const TimePoint now = Runtime::Now();
  if (call.role == FollowerRole::kControl) {
    self->options.on_control_follower(call.follower);
  } else {
    self->HearEntryHost(call, now);
  }
  self->options.on_outcomes({.role = call.role, .outcomes = call.outcomes});
  const TimePoint until =
      now + (call.role == FollowerRole::kControl ? kControlHold : kHold);
  if (!self->HasNews(call)) {
    const auto event = std::make_shared<TimedEvent>(self->runtime);
    self->waiting.insert(event);
    event->WaitUntil(until);
    self->waiting.erase(event);
  }
  if (!self->is_stopped && self->HasNews(call) && call.epoch == self->epoch) {
    Runtime::SleepFor(self->GatherTime(call));
  }
  return self->is_stopped ? std::string() : self->EncodeReply(call);
}

void WatchHub::Wake() {
  for (const auto& event : this->state->waiting) {
    event->Set();
  }
}

void WatchHub::LearnEntryHosts(const HostId& control_host,
                               std::vector<EntryHostRecord> entry_hosts) {
  this->state->others[control_host] = {.hosts = std::move(entry_hosts),
                                       .heard = Runtime::Now()};
}

void WatchHub::RememberEntryHosts(
    const std::vector<EntryHostRecord>& entry_hosts) {
  for (const EntryHostRecord& record : entry_hosts) {
    this->state->entry_followers[record.host] = {.record = record,
                                                 .heard = Runtime::Now()};
  }
}

std::vector<EntryHostRecord> WatchHub::EntryHosts() const {
  return this->state->AllEntryHosts();
}

uint64_t WatchHub::hosts_revision() const {
  return this->state->hosts_revision;
}

void WatchHub::Sweep() {
  const TimePoint now = Runtime::Now();
  State& self = *this->state;
  std::erase_if(self.entry_followers, [now](const auto& entry) {
    const bool is_gone = now - entry.second.heard > kFollowerTimeout;
    if (is_gone) {
      LogLine("entry_host_lost").Add("host", entry.first).Info();
    }
    return is_gone;
  });
  const auto control = self.options.control_hosts();
  std::erase_if(self.others, [&](const auto& entry) {
    return std::ranges::find(control, entry.first, &ControlHostRecord::host) ==
           control.end();
  });
  const uint64_t before = self.hosts_revision;
  self.NoteHosts(now);
  if (self.hosts_revision != before) {
    this->Wake();
  }
}

}  // namespace knapweedroad
