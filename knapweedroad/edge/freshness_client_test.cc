#include "knapweedroad/edge/freshness_client.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "knapweedroad/freshness/configuration_freshness.h"
#include "knapweedroad/freshness/confirm_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(5);
constexpr uint64_t kVersion = 7;
const BootTime kStart = BootTime(hours(1));
const HostId kA("control-a");
const HostId kB("control-b");

struct FakeControlHost {
  // Since when it reaches no quorum; it answers all the same.
  std::optional<BootTime> cut_off_at;
  bool is_frozen = false;
  Duration request_delay = milliseconds(1);
  Duration reply_delay = milliseconds(1);
};

// One entry host and its control hosts in virtual time. The entry host follows
// another control host within 350 ms after it found one to be unconfirmed.
struct World {
  // When the newest successful confirmation of the host began.
  BootTime ConfirmedAt(const FakeControlHost& host) const {
    const BootTime last = std::min(this->now, host.cut_off_at.value_or(now));
    return last - (last - kStart) % milliseconds(250);
  }

  tl::expected<std::string, NetError> Call(const HostId& host) {
    const FakeControlHost& control = this->control[host];
    ++this->calls[host];
    if (control.is_frozen) {
      this->now += milliseconds(400);
      return tl::unexpected(NetError{.detail = "no reply in time"});
    }
    this->now += control.request_delay;
    const ConfirmReply reply{
        .is_confirmed = true,
        .version = kVersion,
        .offset_us = std::chrono::floor<microseconds>(
                         this->ConfirmedAt(control) - this->now)
                         .count() +
                     this->offset_error_us};
    this->now += control.reply_delay;
    return EncodeCompact(reply);
  }

  void OnConfirmation(const HostId& host, bool is_confirmed) {
    if (is_confirmed) {
      this->unconfirmed.erase(host);
    } else if (this->unconfirmed.insert(host).second) {
      this->follow_at = this->now + milliseconds(350);
    }
  }

  std::vector<HostId> Followed() {
    if (this->follow_at && this->now >= *this->follow_at) {
      this->followed = {kA, kB};
    }
    std::vector<HostId> hosts = this->followed;
    std::ranges::stable_sort(hosts, {}, [this](const HostId& host) {
      return this->unconfirmed.contains(host);
    });
    return hosts;
  }

  // Runs the client for that long, as Run() does. Returns the largest age of
  // the proof before each call.
  Duration RunFor(Duration time) {
    const BootTime end = this->now + time;
    Duration oldest{};
    while (this->now < end) {
      oldest = std::max(oldest, this->Age());
      const BootTime started = this->now;
      const Duration pause = milliseconds(this->client.AskOnce() ? 400 : 100);
      oldest = std::max(oldest, this->Age());
      this->now = std::max(this->now, started + pause);
    }
    return oldest;
  }

  Duration Age() const {
    return this->freshness.Age(this->now).value_or(Duration::zero());
  }

  World() { this->freshness.OnVersionApplied(kVersion); }

  BootTime now = kStart;
  std::map<HostId, FakeControlHost> control;
  std::map<HostId, int> calls;
  std::vector<HostId> followed = {kA};
  std::optional<BootTime> follow_at;
  std::set<HostId> unconfirmed;
  int64_t offset_error_us = 0;
  ConfigurationFreshness freshness{{.bound = kBound}};
  FreshnessClient client{
      {.self = HostId("entry-1"),
       .freshness = this->freshness,
       .control_hosts = [this] { return this->Followed(); },
       .call = [this](const HostId& host,
                      std::string_view,
                      TimePoint) { return this->Call(host); },
       .on_confirmation = [this](const HostId& host,
                                 bool ok) { this->OnConfirmation(host, ok); },
       .now = [this] { return this->now; }}};
};

// Guards against a proof that is old although everything works, and against
// calls beyond those needed.
Test(freshness_client, proof_stays_fresh_with_one_call_per_interval) {
  World world;
  cr_expect(world.RunFor(seconds(10)) < milliseconds(800));
  cr_expect(world.calls[kA] <= 26);
  cr_expect(world.calls[kB] == 0);
}

// Guards against a control host that is cut off from the others, still answers,
// and so keeps proving a configuration that has been replaced.
Test(freshness_client, cut_off_control_host_proves_nothing_new) {
  World world;
  world.RunFor(seconds(2));
  const BootTime cut = world.now;
  world.control[kA].cut_off_at = cut;
  world.control[kB].cut_off_at = cut;
  world.RunFor(kBound);
  cr_expect(world.calls[kB] > 0);
  cr_expect(not world.freshness.IsProven(cut + kBound));
}

// Guards against an entry host that stays with a control host that is cut off
// until it rejects callers: another one has to be found before half of the
// bound.
Test(freshness_client, another_control_host_is_found_after_a_partition) {
  World world;
  world.RunFor(seconds(2));
  world.control[kA].cut_off_at = world.now;
  cr_expect(world.RunFor(seconds(10)) < kBound / 2);
  cr_expect(world.Age() < milliseconds(800));
}

// Guards against the same with a control host that doesn't answer at all.
Test(freshness_client, another_control_host_is_found_after_a_freeze) {
  for (int ms = 0; ms < 400; ms += 50) {
    World world;
    world.RunFor(seconds(2) + milliseconds(ms));
    world.control[kA].is_frozen = true;
    cr_expect(world.RunFor(seconds(10)) < kBound / 2, "%d ms", ms);
  }
}

// Guards against a control host that is never returned to after a partition.
Test(freshness_client, control_host_is_rechecked_and_returned_to) {
  World world;
  world.control[kA].cut_off_at = world.now;
  world.RunFor(seconds(5));
  cr_expect(world.unconfirmed.contains(kA));
  world.control[kA].cut_off_at.reset();
  world.RunFor(seconds(2));
  cr_expect(world.unconfirmed.empty());
}

// Guards against one slow reply that makes thousands of hosts follow further
// control hosts at once.
Test(freshness_client, one_lost_reply_is_no_reason_to_search) {
  World world;
  world.RunFor(seconds(2));
  world.control[kA].is_frozen = true;
  world.client.AskOnce();
  world.control[kA].is_frozen = false;
  world.RunFor(seconds(1));
  cr_expect(world.unconfirmed.empty());
}

// Guards against a delayed message that makes the proof younger than the
// confirmation is.
Test(freshness_client, delays_never_make_the_proof_younger) {
  for (const int request_ms : {0, 150, 390}) {
    for (const int reply_ms : {0, 150, 390}) {
      World world;
      world.control[kA].request_delay = milliseconds(request_ms);
      world.control[kA].reply_delay = milliseconds(reply_ms);
      world.client.AskOnce();
      const BootTime confirmed_at = world.ConfirmedAt(world.control[kA]);
      cr_expect(world.now - world.Age() <= confirmed_at);
    }
  }
}

// Guards against a faulty control host whose offsets lie in the future.
Test(freshness_client, offset_after_the_arrival_is_rejected) {
  World world;
  world.offset_error_us = microseconds(seconds(60)).count();
  cr_expect(not world.client.AskOnce());
  cr_expect(not world.freshness.Age(world.now));
}

// Guards against a reply that waited in the socket while the process was frozen
// or the machine suspended, and against blaming the control host for it.
Test(freshness_client, reply_from_before_a_standstill_proves_nothing) {
  World world;
  world.RunFor(seconds(2));
  world.control[kA].reply_delay = seconds(60);
  cr_expect(not world.client.AskOnce());
  cr_expect(not world.freshness.IsProven(world.now));
  cr_expect(world.unconfirmed.empty());
  world.control[kA].reply_delay = milliseconds(1);
  world.now += milliseconds(200);
  cr_expect(world.client.AskOnce());
  cr_expect(world.freshness.IsProven(world.now));
}

// Guards against a host without a proof after its control hosts were without a
// quorum for longer than the bound, and against calls that multiply meanwhile.
Test(freshness_client, proof_returns_with_the_quorum) {
  World world;
  world.RunFor(seconds(2));
  world.control[kA].cut_off_at = world.now;
  world.control[kB].cut_off_at = world.now;
  world.calls.clear();
  world.RunFor(seconds(60));
  cr_expect(not world.freshness.IsProven(world.now));
  cr_expect(world.calls[kA] + world.calls[kB] < 60 * 2 * 5);
  world.control[kA].cut_off_at.reset();
  world.control[kB].cut_off_at.reset();
  world.RunFor(milliseconds(500));
  cr_expect(world.freshness.IsProven(world.now));
  cr_expect(world.freshness.ShouldTakeCallers(world.now));
}

}  // namespace
}  // namespace knapweedroad
