#include "knapweedroad/registry/target_registry.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

TargetRecord Record(const char* id, uint64_t started, uint64_t sequence) {
  return {.id = TargetId(id),
          .service = ServiceId("s"),
          .zone = ZoneId("z"),
          .address = {"10.0.0.1", 8080},
          .slots = 2,
          .started_ms = started,
          .sequence = sequence};
}

TargetPhase PhaseOf(const TargetRegistry& registry, const char* id) {
  return registry.Find(TargetId(id))->phase;
}

// A target crashes and starts again under its id. An announcement of its first
// life, held up by a cut, comes last. Taken as it comes it would bring back
// what the first life said, here that it leaves, and nobody would use it.
Test(target_registry, a_late_announcement_of_a_former_life_changes_nothing) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 2000, 1), kStart);
  TargetRecord late = Record("t", 1000, 55);
  late.phase = TargetPhase::kLeaving;
  cr_expect(registry.Announce(late, kStart) == AnnounceResult::kOutdated);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
}

// A crashed target's address goes to a target of another service. A late
// announcement names the first one there: requests would be sent to it and run
// by the wrong service.
Test(target_registry, of_two_targets_at_an_address_the_later_start_is_there) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("old", 1000, 5), kStart);
  TargetRecord next = Record("new", 3000, 1);
  next.service = ServiceId("other");
  registry.Announce(next, kStart);
  cr_expect(PhaseOf(registry, "old") == TargetPhase::kGone);
  registry.Announce(Record("old", 1000, 6), kStart);
  cr_expect(PhaseOf(registry, "old") == TargetPhase::kGone);
  cr_expect(PhaseOf(registry, "new") == TargetPhase::kServing);
}

// A target signs off and serves on for a while; a heartbeat that was under way
// arrives after that. Taken for news it would get requests when it is gone.
Test(target_registry, a_target_that_signed_off_comes_back_only_as_a_new_life) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 1000, 5), kStart);
  registry.SignOff(TargetId("t"), 0, 0, kStart);
  registry.Announce(Record("t", 1000, 6), kStart);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kGone);
  registry.Announce(Record("t", 4000, 1), kStart);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
}

// Two control hosts hear of the same target in different order.
Test(target_registry, merged_records_end_up_the_same_in_any_order) {
  TargetRecord leaving = Record("t", 1000, 9);
  leaving.phase = TargetPhase::kLeaving;
  for (const bool leaving_first : {false, true}) {
    TargetRegistry registry({.self = HostId("c")});
    registry.Merge(leaving_first ? leaving : Record("t", 1000, 8), kStart);
    registry.Merge(leaving_first ? Record("t", 1000, 8) : leaving, kStart);
    cr_expect(PhaseOf(registry, "t") == TargetPhase::kLeaving);
  }
}

Test(target_registry, followers_hear_of_changes_and_not_of_heartbeats) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 1000, 1), kStart);
  const uint64_t revision = registry.revision();
  registry.Announce(Record("t", 1000, 2), kStart + seconds(1));
  cr_expect(registry.revision() == revision);
  TargetRecord cold = Record("t", 1000, 3);
  cold.cold_left = seconds(3);
  registry.Announce(cold, kStart + seconds(2));
  cr_expect(registry.revision() > revision);
  const auto news = registry.ChangedSince(revision, kStart + seconds(3));
  cr_assert(news.size() == 1);
  cr_expect(news[0].cold_left == seconds(2));
}

// A target crashes: its heartbeats stop, and it says nothing.
Test(target_registry, a_target_without_heartbeats_is_silent_then_forgotten) {
  TargetRegistry registry({.self = HostId("c"),
                           .silent_after = seconds(4),
                           .forget_after = seconds(60)});
  const auto all_live = [](const HostId&) { return true; };
  registry.Announce(Record("t", 1000, 1), kStart);
  registry.Sweep(all_live, kStart + seconds(3));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
  registry.Sweep(all_live, kStart + seconds(5));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kSilent);
  registry.Announce(Record("t", 1000, 2), kStart + seconds(6));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
  registry.Sweep(all_live, kStart + seconds(20));
  registry.Sweep(all_live, kStart + seconds(80));
  cr_expect(registry.Find(TargetId("t")) == nullptr);
}

// The control host that hears a target dies. The target turns to another one
// within a few heartbeats; until then nothing is known against it.
Test(target_registry, targets_of_a_dead_control_host_get_time_to_move) {
  TargetRegistry registry({.self = HostId("c"), .silent_after = seconds(4)});
  TargetRecord record = Record("t", 1000, 1);
  record.heard_by = HostId("dead");
  registry.Merge(record, kStart);
  const auto none_live = [](const HostId&) { return false; };
  registry.Sweep(none_live, kStart + seconds(6));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
  registry.Sweep(none_live, kStart + seconds(9));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kSilent);
}

// One control host is cut off from the others for some seconds. They take its
// targets for silent; after the cut it hears them as ever, so it has nothing
// to tell, and for minutes nobody uses targets that serve well.
Test(target_registry, the_hearer_corrects_what_others_took_for_silent) {
  TargetRegistry hearer({.self = HostId("a"), .silent_after = seconds(4)});
  TargetRegistry other({.self = HostId("b"), .silent_after = seconds(4)});
  hearer.Announce(Record("t", 1000, 1), kStart);
  other.Merge(hearer.ChangedSince(0, kStart)[0], kStart);
  const uint64_t followed = hearer.revision();
  other.Sweep([](const HostId&) { return false; }, kStart + seconds(9));
  cr_assert(PhaseOf(other, "t") == TargetPhase::kSilent);
  hearer.Announce(Record("t", 1000, 9), kStart + seconds(10));
  hearer.Merge(other.ChangedSince(0, kStart)[0], kStart + seconds(10));
  const auto news = hearer.ChangedSince(followed, kStart + seconds(10));
  cr_assert(news.size() == 1);
  other.Merge(news[0], kStart + seconds(10));
  cr_expect(PhaseOf(other, "t") == TargetPhase::kServing);
}

Test(target_registry, a_flood_of_ids_ends_at_the_bound) {
  TargetRegistry registry({.self = HostId("c"), .max_targets = 2});
  registry.Announce(Record("a", 1, 1), kStart);
  registry.Announce(Record("b", 1, 1), kStart);
  cr_expect(registry.Announce(Record("c", 1, 1), kStart) ==
            AnnounceResult::kFull);
  cr_expect(registry.Announce(Record("b", 1, 2), kStart) ==
            AnnounceResult::kTaken);
}

}  // namespace
}  // namespace knapweedroad
