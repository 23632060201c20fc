#include "knapweedroad/registry/target_registry.h"

#include <criterion/criterion.h>

#include "knapweedroad/registry/target_record_check.h"

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

// A target crashes and restarts under its id, and an announcement of its
// earlier incarnation, delayed by a partition, arrives last. Guards against it
// restoring the earlier state, here that the target is leaving, so that no host
// uses the target.
Test(target_registry,
     late_announcement_of_an_earlier_incarnation_changes_nothing) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 2000, 1), kStart);
  TargetRecord late = Record("t", 1000, 55);
  late.phase = TargetPhase::kLeaving;
  cr_expect(registry.Announce(late, kStart) == AnnounceResult::kOutdated);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
}

// The address of a crashed target is reassigned to a target of another service.
// Guards against a late announcement of the first target, which would send
// requests to the wrong service.
Test(target_registry, target_that_started_later_takes_over_an_address) {
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

// A target deregisters and serves for a while longer. Guards against a
// heartbeat in transit that arrives afterwards and would send requests to the
// target after it is gone.
Test(target_registry, deregistered_target_returns_only_as_a_new_incarnation) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 1000, 5), kStart);
  registry.Deregister(TargetId("t"), 0, 0, kStart);
  registry.Announce(Record("t", 1000, 6), kStart);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kGone);
  registry.Announce(Record("t", 4000, 1), kStart);
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
}

// Two control hosts receive the records of a target in different order.
Test(target_registry, merge_result_does_not_depend_on_order) {
  TargetRecord leaving = Record("t", 1000, 9);
  leaving.phase = TargetPhase::kLeaving;
  for (const bool leaving_first : {false, true}) {
    TargetRegistry registry({.self = HostId("c")});
    registry.Merge(leaving_first ? leaving : Record("t", 1000, 8), kStart);
    registry.Merge(leaving_first ? Record("t", 1000, 8) : leaving, kStart);
    cr_expect(PhaseOf(registry, "t") == TargetPhase::kLeaving);
  }
}

Test(target_registry, revision_rises_with_changes_and_not_with_heartbeats) {
  TargetRegistry registry({.self = HostId("c")});
  registry.Announce(Record("t", 1000, 1), kStart);
  const uint64_t revision = registry.revision();
  registry.Announce(Record("t", 1000, 2), kStart + seconds(1));
  cr_expect(registry.revision() == revision);
  TargetRecord cold = Record("t", 1000, 3);
  cold.cold_left = seconds(3);
  registry.Announce(cold, kStart + seconds(2));
  cr_expect(registry.revision() > revision);
  const auto changed = registry.ChangedSince(revision, kStart + seconds(3));
  cr_assert(changed.size() == 1);
  cr_expect(changed[0].cold_left == seconds(2));
}

// A target crashes: its heartbeats stop without a deregistration.
Test(target_registry,
     target_without_heartbeats_becomes_silent_then_is_dropped) {
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

// The control host that receives the heartbeats of a target fails. The target
// switches to another one within a few heartbeats and must not be marked silent
// until then.
Test(target_registry, targets_of_a_failed_control_host_get_time_to_move) {
  TargetRegistry registry({.self = HostId("c"), .silent_after = seconds(4)});
  TargetRecord record = Record("t", 1000, 1);
  record.heartbeat_receiver = HostId("dead");
  registry.Merge(record, kStart);
  const auto none_live = [](const HostId&) { return false; };
  registry.Sweep(none_live, kStart + seconds(6));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kServing);
  registry.Sweep(none_live, kStart + seconds(9));
  cr_expect(PhaseOf(registry, "t") == TargetPhase::kSilent);
}

// A control host is partitioned from the others for some seconds, and they mark
// its targets silent. Its own records are unchanged after the partition, so it
// would publish nothing. Guards against healthy targets that no host uses for
// minutes.
Test(target_registry,
     heartbeat_receiver_corrects_records_that_others_marked_silent) {
  TargetRegistry receiver({.self = HostId("a"), .silent_after = seconds(4)});
  TargetRegistry other({.self = HostId("b"), .silent_after = seconds(4)});
  receiver.Announce(Record("t", 1000, 1), kStart);
  other.Merge(receiver.ChangedSince(0, kStart)[0], kStart);
  const uint64_t followed_revision = receiver.revision();
  other.Sweep([](const HostId&) { return false; }, kStart + seconds(9));
  cr_assert(PhaseOf(other, "t") == TargetPhase::kSilent);
  receiver.Announce(Record("t", 1000, 9), kStart + seconds(10));
  receiver.Merge(other.ChangedSince(0, kStart)[0], kStart + seconds(10));
  const auto changed =
      receiver.ChangedSince(followed_revision, kStart + seconds(10));
  cr_assert(changed.size() == 1);
  other.Merge(changed[0], kStart + seconds(10));
  cr_expect(PhaseOf(other, "t") == TargetPhase::kServing);
}

Test(target_registry, number_of_targets_is_bounded) {
  TargetRegistry registry({.self = HostId("c"), .max_targets = 2});
  registry.Announce(Record("a", 1, 1), kStart);
  registry.Announce(Record("b", 1, 1), kStart);
  cr_expect(registry.Announce(Record("c", 1, 1), kStart) ==
            AnnounceResult::kFull);
  cr_expect(registry.Announce(Record("b", 1, 2), kStart) ==
            AnnounceResult::kAccepted);
}

// Bytes of a damaged disk or of another host make a record that no target could
// have announced.
Test(target_registry, records_out_of_range_are_unusable) {
  cr_expect(WhyUnusable(Record("t", 1000, 1)).empty());
  TargetRecord phase = Record("t", 1000, 1);
  phase.phase = static_cast<TargetPhase>(200);
  TargetRecord cold = Record("t", 1000, 1);
  cold.cold_left = Duration::max();
  TargetRecord address = Record("t", 1000, 1);
  address.address = {"10.0.0.1", 0};
  TargetRecord late = Record("t", 1000, kMaxTargetNumber + 1);
  for (const TargetRecord& record : {phase, cold, address, late}) {
    cr_expect(!WhyUnusable(record).empty());
  }
  cr_expect(
      WhyUnusable({.id = TargetId("t"), .phase = TargetPhase::kGone}).empty());
}

}  // namespace
}  // namespace knapweedroad
