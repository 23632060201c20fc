#include "knapweedroad/registry/agreed_state.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

// Guards against a retransmitted old configuration that arrives after a newer
// one and would restore removed routes.
Test(agreed_state, lower_or_equal_number_changes_nothing) {
  AgreedState state;
  PutIfNewer(state, 7, "seven");
  PutIfNewer(state, 5, "five");
  PutIfNewer(state, 7, "another seven");
  cr_expect(state.number == 7 && state.text == "seven");
  PutIfNewer(state, 9, "nine");
  cr_expect(state.number == 9 && state.text == "nine");
}

Test(agreed_state, repeated_zone_changes_apply_once) {
  AgreedState state;
  SetZoneOut(state, ZoneId("b"), true);
  SetZoneOut(state, ZoneId("a"), true);
  SetZoneOut(state, ZoneId("b"), true);
  cr_expect(state.zones_out == (std::vector{ZoneId("a"), ZoneId("b")}));
  SetZoneOut(state, ZoneId("b"), false);
  SetZoneOut(state, ZoneId("b"), false);
  cr_expect(state.zones_out == std::vector{ZoneId("a")});
}

Test(agreed_state, round_trips_and_rejects_other_bytes) {
  const AgreedState state{
      .number = 3, .text = "text", .zones_out = {ZoneId("a")}};
  cr_expect(DecodeAgreedState(EncodeAgreedState(state)) == state);
  cr_expect(DecodeAgreedState("") == AgreedState());
  cr_expect(!DecodeAgreedState("something else").has_value());
}

// Guards against a rollout that is lost when all processes restart.
Test(agreed_state, rollouts_round_trip) {
  const AgreedState state{.number = 3,
                          .text = "text",
                          .rollouts = {{.service = ServiceId("s"),
                                        .number = 2,
                                        .stable = VersionId("v1"),
                                        .candidate = VersionId("v2"),
                                        .state = RolloutState::kRolledBack,
                                        .ordered_ms = 5,
                                        .duration_ms = 12000,
                                        .owner = HostId("c")}}};
  cr_expect(DecodeAgreedState(EncodeAgreedState(state)) == state);
}

// Guards against control hosts that can't read each other's values during a
// rolling upgrade.
Test(agreed_state, encoding_without_rollouts_keeps_the_older_layout) {
  AgreedState state{.number = 3, .text = "text"};
  const std::string older = EncodeAgreedState(state);
  state.rollouts.push_back({.service = ServiceId("s")});
  cr_expect(EncodeAgreedState(state).size() > older.size());
  cr_expect(DecodeAgreedState(older).value().rollouts.empty());
}

}  // namespace
}  // namespace knapweedroad
