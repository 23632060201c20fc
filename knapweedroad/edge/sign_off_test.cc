// What a target's sign-off or draining that was acknowledged outlives: three
// control hosts over real sockets, in one process.

#include <criterion/criterion.h>

#include <functional>

#include "knapweedroad/edge/control_hosts_world.h"

namespace knapweedroad {
namespace {

const TargetId kTarget("t");

TargetRecord Record(uint64_t sequence, TargetPhase phase) {
  return {.id = kTarget,
          .service = ServiceId("s"),
          .zone = ZoneId("z0"),
          .address = {"10.0.0.1", 8080},
          .slots = 2,
          .started_ms = 1000,
          .sequence = sequence,
          .phase = phase};
}

AnnounceResult Announce(ControlHostsWorld& hosts,
                        size_t index,
                        uint64_t sequence,
                        TargetPhase phase) {
  return hosts.at(index).Announce(Record(sequence, phase),
                                  Runtime::Now() + 900ms);
}

AnnounceResult SignOff(ControlHostsWorld& hosts) {
  return hosts.at(0).SignOff(kTarget, 1000, 3, Runtime::Now() + 900ms);
}

bool ComesTo(ControlHostsWorld& hosts, size_t index, TargetPhase phase) {
  return hosts.Until([&] { return hosts.PhaseAt(index, kTarget) == phase; });
}

void Play(int network, const std::function<void(ControlHostsWorld&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      ControlHostsWorld hosts(runtime, network);
      story(hosts);
    }
    runtime.Stop();
  });
  runtime.Run();
}

void AnnounceToAll(ControlHostsWorld& hosts) {
  cr_assert(Announce(hosts, 0, 1, TargetPhase::kServing) ==
            AnnounceResult::kAccepted);
  for (size_t index = 0; index < kHosts; ++index) {
    cr_assert(ComesTo(hosts, index, TargetPhase::kServing));
  }
  Runtime::SleepFor(kCopied);
}

// All processes are killed right after the acknowledgement; their copies of the
// targets still name the one that signed off as serving.
Test(sign_off, outlives_a_kill_of_all_hosts, .timeout = 60) {
  Play(71, [](ControlHostsWorld& hosts) {
    AnnounceToAll(hosts);
    cr_assert(SignOff(hosts) == AnnounceResult::kAccepted);
    hosts.KillAll();
    for (size_t index = 0; index < kHosts; ++index) {
      hosts.Start(index);
    }
    for (size_t index = 0; index < kHosts; ++index) {
      cr_expect(ComesTo(hosts, index, TargetPhase::kGone));
    }
    // A late heartbeat.
    Announce(hosts, 1, 2, TargetPhase::kServing);
    cr_expect(hosts.PhaseAt(1, kTarget) == TargetPhase::kGone);
  });
}

// The host that acknowledged is lost with its disk in the same moment as all
// others lose their processes.
Test(sign_off, outlives_the_host_that_acknowledged, .timeout = 60) {
  Play(72, [](ControlHostsWorld& hosts) {
    AnnounceToAll(hosts);
    cr_assert(Announce(hosts, 0, 2, TargetPhase::kLeaving) ==
              AnnounceResult::kAccepted);
    hosts.LoseDisk(0);
    hosts.KillAll();
    hosts.Start(1);
    hosts.Start(2);
    for (const size_t index : {1, 2}) {
      cr_expect(ComesTo(hosts, index, TargetPhase::kLeaving));
    }
  });
}

// A sign-off overtakes the announcement, which then makes the target serve.
Test(sign_off, before_the_announcement_ends_the_target, .timeout = 60) {
  Play(73, [](ControlHostsWorld& hosts) {
    cr_assert(SignOff(hosts) == AnnounceResult::kAccepted);
    Announce(hosts, 0, 2, TargetPhase::kServing);
    Announce(hosts, 1, 2, TargetPhase::kServing);
    cr_expect(hosts.PhaseAt(0, kTarget) == TargetPhase::kGone);
    cr_expect(ComesTo(hosts, 1, TargetPhase::kGone));
  });
}

// A host without a quorum acknowledges what nobody else knows.
Test(sign_off, is_not_acknowledged_without_a_quorum, .timeout = 60) {
  Play(74, [](ControlHostsWorld& hosts) {
    AnnounceToAll(hosts);
    hosts.LoseDisk(1);
    hosts.LoseDisk(2);
    cr_expect(SignOff(hosts) == AnnounceResult::kNotHeld);
    cr_expect(hosts.PhaseAt(0, kTarget) == TargetPhase::kGone);
  });
}

}  // namespace
}  // namespace knapweedroad
