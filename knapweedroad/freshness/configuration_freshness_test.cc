#include "knapweedroad/freshness/configuration_freshness.h"

#include <criterion/criterion.h>

#include "knapweedroad/freshness/confirm_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(5);
constexpr Duration kMargin = milliseconds(100);
const BootTime kStart = BootTime(hours(1));

ConfigurationFreshness MakeFreshness() {
  return ConfigurationFreshness({.bound = kBound, .margin = kMargin});
}

// Guards against a host that serves keys before it has learned anything.
Test(configuration_freshness, nothing_is_proven_at_the_start) {
  const ConfigurationFreshness freshness = MakeFreshness();
  cr_expect(not freshness.IsProven(kStart));
  cr_expect(not freshness.ShouldTakeCallers(kStart));
  cr_expect(not freshness.Age(kStart));
}

// Guards against a proof that is used up to the bound itself although the
// clocks of two hosts drift apart.
Test(configuration_freshness, proof_ends_a_margin_before_the_bound) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart);
  const BootTime end = kStart + kBound - kMargin;
  cr_expect(freshness.IsProven(end - milliseconds(1)));
  cr_expect(not freshness.IsProven(end));
}

// Guards against a margin that is smaller than the drift over the bound.
Test(configuration_freshness, default_margin_exceeds_the_largest_drift) {
  const ConfigurationFreshnessOptions options{.bound = kBound};
  cr_expect(std::chrono::duration<double>(options.margin) >
            2 * kMaxClockDrift * std::chrono::duration<double>(options.bound));
}

// Guards against hosts that reject callers soon after the control hosts have
// become unreachable.
Test(configuration_freshness, proof_lasts_three_fifths_of_the_bound) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  // A call just before the next one is due, and a confirmation just before its
  // successor, are the oldest proof of a host whose control host works.
  const Duration oldest = milliseconds(400 + 250 + 400);
  freshness.OnConfirmed(1, kStart - oldest);
  cr_expect(freshness.IsProven(kStart + kBound * 3 / 5));
}

// Guards against callers that are still sent to a host when it rejects them.
Test(configuration_freshness, callers_go_elsewhere_from_half_of_the_bound_on) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart);
  const BootTime half = kStart + kBound / 2;
  cr_expect(freshness.ShouldTakeCallers(half - milliseconds(1)));
  cr_expect(not freshness.ShouldTakeCallers(half));
  cr_expect(freshness.IsProven(half));
}

// Guards against a proof that counts from the arrival of a delayed reply: the
// confirmation is as old as it was.
Test(configuration_freshness, delayed_reply_proves_only_its_own_time) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart + seconds(1));
  // The reply to an earlier call.
  freshness.OnConfirmed(1, kStart);
  cr_expect(freshness.Age(kStart + seconds(1)) == Duration::zero());
  const BootTime late = kStart + seconds(20);
  freshness.OnConfirmed(1, kStart + seconds(2));
  cr_expect(not freshness.IsProven(late));
}

// Guards against a request with a removed key that a process runs after it was
// frozen or suspended past the bound, before it has asked anew.
Test(configuration_freshness, nothing_is_proven_after_a_standstill) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart);
  const BootTime resumed = kStart + seconds(60);
  cr_expect(not freshness.IsProven(resumed));
  // A reply that waited in the socket all the while.
  freshness.OnConfirmed(1, kStart + milliseconds(400));
  cr_expect(not freshness.IsProven(resumed));
  freshness.OnConfirmed(1, resumed);
  cr_expect(freshness.IsProven(resumed));
}

// Guards against a proof that a newer version exists being taken as a proof
// that this host knows it.
Test(configuration_freshness, proof_waits_until_its_version_is_applied) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(2, kStart);
  cr_expect(not freshness.IsProven(kStart));
  freshness.OnVersionApplied(2);
  cr_expect(freshness.IsProven(kStart));
}

// Guards against two versions in a row, where knowing the first one is taken
// for knowing the second.
Test(configuration_freshness, two_versions_in_a_row_need_the_second) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(2, kStart);
  freshness.OnConfirmed(3, kStart + milliseconds(400));
  freshness.OnVersionApplied(2);
  cr_expect(freshness.Age(kStart + seconds(1)) == seconds(1));
  freshness.OnVersionApplied(3);
  cr_expect(freshness.Age(kStart + seconds(1)) == milliseconds(600));
}

// Guards against versions that change many times a second, each confirmed
// before it is applied, without any proof between them.
Test(configuration_freshness, a_stream_of_versions_leaves_the_proof_fresh) {
  ConfigurationFreshness freshness = MakeFreshness();
  for (uint64_t version = 1; version < 1000; ++version) {
    const BootTime now = kStart + milliseconds(100) * version;
    freshness.OnConfirmed(version, now);
    // Each is read three versions late.
    freshness.OnVersionApplied(version > 3 ? version - 3 : 0);
    if (version > 4) {
      cr_assert(freshness.Age(now) == milliseconds(300));
    }
  }
}

// Guards against an unreadable configuration that counts as known: it may be
// the one that removed the key.
Test(configuration_freshness, unreadable_version_is_never_known) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart);
  BootTime now = kStart;
  // Version 2 can't be read, so that it is never applied.
  for (; now < kStart + seconds(30); now += milliseconds(400)) {
    freshness.OnConfirmed(2, now);
    freshness.OnVersionApplied(1);
  }
  cr_expect(not freshness.IsProven(now));
  // Version 3 contains everything that version 2 changed.
  freshness.OnVersionApplied(3);
  cr_expect(freshness.IsProven(now));
}

// Guards against a key that was removed and restored, or moved to another
// account: a host that knows only the state before has no proof.
Test(configuration_freshness, old_state_is_not_proven_by_an_equal_new_one) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  freshness.OnConfirmed(1, kStart);
  freshness.OnConfirmed(3, kStart + seconds(6));
  cr_expect(not freshness.IsProven(kStart + seconds(6)));
  freshness.OnVersionApplied(2);
  cr_expect(not freshness.IsProven(kStart + seconds(6)));
  freshness.OnVersionApplied(3);
  cr_expect(freshness.IsProven(kStart + seconds(6)));
}

// Guards against a version that is applied late and lowers what is known.
Test(configuration_freshness, lower_versions_have_no_effect) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(5);
  freshness.OnVersionApplied(4);
  freshness.OnConfirmed(5, kStart);
  cr_expect(freshness.IsProven(kStart));
}

// Guards against control hosts without a quorum for longer than the bound, and
// a host that stays without a proof after they have recovered.
Test(configuration_freshness, proof_returns_with_the_quorum) {
  ConfigurationFreshness freshness = MakeFreshness();
  freshness.OnVersionApplied(1);
  BootTime now = kStart;
  // The control host repeats its last confirmation.
  for (; now < kStart + seconds(60); now += milliseconds(400)) {
    freshness.OnConfirmed(1, kStart);
    cr_expect(freshness.IsProven(now) == (now - kStart < kBound - kMargin));
  }
  freshness.OnConfirmed(1, now - milliseconds(100));
  cr_expect(freshness.IsProven(now));
  cr_expect(freshness.ShouldTakeCallers(now));
}

// Guards against offsets that lose their sign or precision between hosts.
Test(confirm_messages, negative_offsets_survive_the_wire) {
  const ConfirmReply sent{
      .is_confirmed = true, .version = 7, .offset_us = -250'001};
  const auto received = DecodeCompact<ConfirmReply>(EncodeCompact(sent));
  cr_assert(received.has_value());
  cr_expect(received->is_confirmed);
  cr_expect(received->version == 7);
  cr_expect(received->offset_us == -250'001);
}

}  // namespace
}  // namespace knapweedroad
