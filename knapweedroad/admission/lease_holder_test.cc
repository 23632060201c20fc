#include "knapweedroad/admission/lease_holder.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const HostId kHostA("a");
const HostId kHostB("b");
const TargetId kOnlyTarget("t");

// The holder at host "a" of the zone {a, b} with the witness w. Each test
// creates the replies to its requests.
struct HolderFixture {
  LeaseHolder holder{{.self = kHostA,
                      .incarnation = 7,
                      .started = kStart - seconds(60),
                      .zone_hosts = {kHostA, kHostB},
                      .voters = {kHostA, kHostB, HostId("w")}}};
  TargetShare share;

  HolderFixture() {
    const LeaseTarget target{.target = kOnlyTarget, .slots = 2};
    for (const auto& message : this->Tick(kStart - milliseconds(500))) {
      this->holder.OnReply(GrantAllOf(message), kStart - milliseconds(500));
    }
    this->holder.SetTargets({&target, 1}, kStart);
    this->holder.SetEligibleHosts({&kHostA, 1}, kStart);
  }

  std::vector<LeaseActions::Message> Tick(TimePoint now) {
    LeaseActions actions = this->holder.Tick(now);
    for (const auto& change : actions.shares) {
      this->share = change.share;
    }
    return std::move(actions.messages);
  }

  static LeaseReply GrantAllOf(const LeaseActions::Message& message,
                               uint64_t incarnation = 7) {
    LeaseReply reply{.grantor = message.to,
                     .incarnation = incarnation,
                     .sequence = message.request.sequence,
                     .grants = {}};
    for (const LeaseOperation& operation : message.request.operations) {
      if (!operation.release) {
        reply.grants.push_back({.target = operation.target,
                                .part = operation.part,
                                .granted = true});
      }
    }
    return reply;
  }

  // Grants all requests until there are no more.
  void GrantAll(TimePoint now) {
    for (int round = 0; round < 4; ++round) {
      for (const auto& message : this->Tick(now)) {
        this->holder.OnReply(GrantAllOf(message), now);
      }
    }
    this->Tick(now);
  }
};

LeaseRequest PeerRequest(const HostId& host,
                         uint64_t incarnation,
                         bool is_final) {
  return {.holder = host,
          .incarnation = incarnation,
          .sequence = 1,
          .is_final = is_final,
          .operations = {}};
}

Test(LeaseHolder, HoldsAllSlotsWithAllGrants) {
  HolderFixture fixture;
  fixture.GrantAll(kStart);
  cr_assert_eq(fixture.share.slots, 2u);
}

// Replies take a second to arrive. If the lease counted from their arrival, it
// would outlast the grants.
Test(LeaseHolder, LeaseStartsWhenRequestIsSent) {
  HolderFixture fixture;
  const auto requests = fixture.Tick(kStart);
  for (const auto& message : requests) {
    fixture.holder.OnReply(HolderFixture::GrantAllOf(message),
                           kStart + seconds(1));
  }
  for (const auto& message : fixture.Tick(kStart + seconds(1))) {
    LeaseReply reply = HolderFixture::GrantAllOf(message);
    std::erase_if(reply.grants, [](const LeaseGrant& grant) {
      return grant.part == LeasePart::kVote;
    });
    fixture.holder.OnReply(reply, kStart + seconds(1));
  }
  fixture.Tick(kStart + seconds(1));
  cr_assert_eq(fixture.share.slots, 2u);
  cr_assert(fixture.share.valid_until < kStart + seconds(2));
}

// The host restarts, and replies to its former incarnation arrive. Their
// sequences are those of requests that it has just sent.
Test(LeaseHolder, IgnoresRepliesToFormerIncarnation) {
  HolderFixture fixture;
  for (int round = 0; round < 4; ++round) {
    for (const auto& message : fixture.Tick(kStart)) {
      fixture.holder.OnReply(HolderFixture::GrantAllOf(message, 6), kStart);
    }
  }
  cr_assert_eq(fixture.share.slots, 0u);
  // The valid replies, from the setup, are older than one lease length by then.
  cr_assert(!fixture.holder.ReachesMajority(kStart + milliseconds(1600)));
}

// Votes without a majority are released. Replies that granted them arrive after
// that, when the grantors may have granted the votes to another host.
Test(LeaseHolder, IgnoresGrantsRequestedBeforeRelease) {
  HolderFixture fixture;
  const auto requests = fixture.Tick(kStart);
  fixture.Tick(kStart + milliseconds(100));  // releases the votes
  const auto retries = fixture.Tick(kStart + milliseconds(500));
  cr_assert(!retries.empty());
  for (const auto& message : requests) {
    fixture.holder.OnReply(HolderFixture::GrantAllOf(message),
                           kStart + milliseconds(500));
  }
  for (const auto& message : fixture.Tick(kStart + milliseconds(500))) {
    cr_assert(message.request.operations.empty(),
              "counted released votes as a majority");
  }
}

// The final request of b's former incarnation is delayed past restarts of b and
// of this host. If it were accepted, this host would take over b's part of the
// slots while b may use it.
Test(LeaseHolder, IgnoresFinalRequestOfUnknownIncarnation) {
  HolderFixture fixture;
  fixture.holder.OnPeerRequest(PeerRequest(kHostB, 3, true), kStart);
  for (int round = 0; round < 4; ++round) {
    for (const auto& message : fixture.Tick(kStart)) {
      LeaseReply reply = HolderFixture::GrantAllOf(message);
      std::erase_if(reply.grants, [&](const LeaseGrant& grant) {
        return message.to == kHostB && grant.part == LeasePart::kSlots;
      });
      fixture.holder.OnReply(reply, kStart);
    }
  }
  cr_assert_eq(fixture.share.slots, 1u);
  fixture.holder.OnPeerRequest(PeerRequest(kHostB, 4, false), kStart);
  fixture.holder.OnPeerRequest(PeerRequest(kHostB, 4, true), kStart);
  fixture.Tick(kStart);
  cr_assert_eq(fixture.share.slots, 2u);
}

Test(LeaseHolder, IgnoresRefusalOlderThanLatestRequest) {
  HolderFixture fixture;
  fixture.holder.OnPeerRequest(PeerRequest(kHostB, 4, false), kStart);
  fixture.holder.OnConnectionRefused(kHostB, kStart - milliseconds(1), kStart);
  // Runs past the longest work time; a majority without b replies.
  for (int ms = 0; ms <= 13000; ms += 100) {
    const TimePoint now = kStart + milliseconds(ms);
    for (const auto& message : fixture.Tick(now)) {
      if (message.to != kHostB) {
        fixture.holder.OnReply(HolderFixture::GrantAllOf(message), now);
      }
    }
  }
  cr_assert(fixture.holder.ReachesMajority(kStart + seconds(13)));
  cr_assert_eq(fixture.share.slots, 1u);
}

// b used its own part while isolated, was suspended, and resumes while attempts
// from that time are still running. It lends the part to the holder, which must
// not use it before those attempts have ended.
Test(LeaseHolder, LentPartIsUnusedUntilOwnersWorkHasEnded) {
  HolderFixture fixture;
  for (int round = 0; round < 4; ++round) {
    for (const auto& message : fixture.Tick(kStart)) {
      LeaseReply reply = HolderFixture::GrantAllOf(message);
      for (LeaseGrant& grant : reply.grants) {
        const bool is_part_of_b =
            message.to == kHostB && grant.part == LeasePart::kSlots;
        grant.start_delay = is_part_of_b ? seconds(1) : seconds(0);
      }
      fixture.holder.OnReply(reply, kStart);
    }
  }
  cr_assert_eq(fixture.share.slots, 1u);
  fixture.Tick(kStart + milliseconds(1010));
  cr_assert_eq(fixture.share.slots, 2u);
}

// The two hosts of the zone lose contact with each other and with the witness
// soon after "a" has restarted. "b" counted the former incarnation of "a" as
// stopped and used its slots until it replied to the new incarnation. Attempts
// of "b" on those slots may still be running.
Test(LeaseHolder, RestartedHostWaitsForOthersWorkOnItsPart) {
  HolderFixture fixture;
  for (int ms = 0; ms <= 12000; ms += 100) {
    const TimePoint now = kStart + milliseconds(ms);
    for (const auto& message : fixture.Tick(now)) {
      if (message.to == kHostA) {
        fixture.holder.OnReply(HolderFixture::GrantAllOf(message), now);
      }
    }
    // "b" replied half a second before `kStart`; attempts run for up to ten
    // seconds.
    cr_assert(ms > 9500 || fixture.share.slots == 0, "at %d ms", ms);
  }
  fixture.Tick(kStart + milliseconds(12001));
  cr_assert_eq(fixture.share.slots, 1u);
  cr_assert(!fixture.share.cold_allowed);
}

// "a" reaches no majority and uses its own part. The holder has a majority, can
// reach "a" and requests the part. "a" must stop sending, and release the part
// once it is drained.
Test(LeaseHolder, IsolatedHostReleasesItsPartOnRequest) {
  HolderFixture fixture;
  bool wanted = false;
  bool released = false;
  for (int ms = 0; ms <= 13000; ms += 100) {
    const TimePoint now = kStart + milliseconds(ms);
    wanted = ms > 12000;
    for (const auto& message : fixture.Tick(now)) {
      if (message.to != kHostA) {
        continue;
      }
      for (const LeaseOperation& operation : message.request.operations) {
        released = released || (wanted && operation.release);
      }
      LeaseReply reply = HolderFixture::GrantAllOf(message);
      for (LeaseGrant& grant : reply.grants) {
        grant.wanted = wanted;
      }
      fixture.holder.OnReply(reply, now);
    }
    cr_assert(ms != 12000 || fixture.share.slots == 1);
    if (fixture.share.slots == 0) {
      fixture.holder.OnDrained(kOnlyTarget);
    }
  }
  cr_assert(released);
}

Test(LeaseHolder, KeepsRemovedTargetUntilDrained) {
  HolderFixture fixture;
  fixture.GrantAll(kStart);
  fixture.holder.SetTargets({}, kStart);
  fixture.Tick(kStart + milliseconds(100));
  cr_assert_eq(fixture.share.slots, 0u);
  const auto renewals = fixture.Tick(kStart + milliseconds(200));
  cr_assert(!renewals.empty());
  cr_assert(!renewals.front().request.operations.front().release);
  fixture.holder.OnDrained(kOnlyTarget);
  const auto releases = fixture.Tick(kStart + milliseconds(200));
  cr_assert(releases.front().request.operations.front().release);
}

}  // namespace
}  // namespace knapweedroad
