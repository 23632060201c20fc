#include "knapweedroad/query/front_gate.h"

#include <criterion/criterion.h>

#include <deque>

#include "knapweedroad/query/fair_share.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A front of two tenants whose queries take 40 ms of their 400.
class Door {
 public:
  Door() {
    this->front.tenants = {{.name = TenantId("heavy"), .weight = 1},
                           {.name = TenantId("light"),
                            .weight = 1,
                            .class_weights = {{"desk", 8}, {"archive", 1}}}};
  }

  // Ends what is due, then asks at the door.
  std::optional<QueryRefusal> Arrive(const char* tenant,
                                     const char* class_name,
                                     Duration at,
                                     Duration allowed = milliseconds(400)) {
    const TimePoint now = TimePoint(seconds(100)) + at;
    this->EndDue(now);
    const GateRequest request{TenantId(tenant), class_name, now + allowed};
    auto refusal = this->gate.Arrive(request, now);
    if (!refusal) {
      this->open.push_back({.tenant = request.tenant,
                            .class_name = class_name,
                            .start = now,
                            .deadline = request.deadline,
                            .sub_refused = this->sub_refused});
    }
    return refusal;
  }

  // Open-loop arrivals at each `every`; the share that was admitted.
  double Admitted(const char* tenant,
                  const char* class_name,
                  Duration every,
                  Duration from,
                  Duration until) {
    double arrived = 0;
    double admitted = 0;
    for (Duration at = from; at < until; at += milliseconds(1)) {
      this->Arrive("heavy", "normal", at);
      if (at % every == Duration::zero()) {
        arrived += 1;
        admitted += this->Arrive(tenant, class_name, at) ? 0 : 1;
      }
    }
    return admitted / arrived;
  }

  void EndDue(TimePoint now) {
    while (!this->open.empty() &&
           this->open.front().start + this->took <= now) {
      this->gate.Finish(this->open.front(),
                        this->open.front().start + this->took);
      this->open.pop_front();
    }
  }

  FrontConfig front;
  FrontGate gate{{.front = this->front, .highest_limit = 8.0}};
  std::deque<GateSample> open;
  Duration took = milliseconds(40);
  uint32_t sub_refused = 0;
};

Test(FairShares, WhatOneLeavesOverGoesToTheOthersByWeight) {
  const std::vector<Demand> demands{{100, 3}, {2, 1}, {100, 1}};
  const auto shares = FairShares(10, demands);
  cr_assert_float_eq(shares[0], 6.0, 1e-9);
  cr_assert_float_eq(shares[1], 2.0, 1e-9);
  cr_assert_float_eq(shares[2], 2.0, 1e-9);
}

Test(FrontGate, RefusesWholeQueriesAtOnceOnceItIsFull) {
  Door door;
  for (int query = 0; query < 8; ++query) {
    cr_assert(!door.Arrive("heavy", "normal", milliseconds(0)));
  }
  const auto refusal = door.Arrive("heavy", "normal", milliseconds(1));
  cr_assert(refusal.has_value());
  cr_assert(refusal->outcome == RunOutcome::kNotRun);
  cr_assert_geq(refusal->retry_after, seconds(1));
  const TimePoint then = TimePoint(seconds(100)) + milliseconds(1);
  cr_assert(door.gate.Overloaded(then + milliseconds(900)));
  cr_assert(!door.gate.Overloaded(then + seconds(1)));
}

Test(FrontGate, ALightTenantIsServedBesideAHeavyOne) {
  // One tenant's backfill shuts out all others: 1000 queries a second against
  // their 20, at a door that lets 200 a second in.
  Door door;
  const double admitted =
      door.Admitted("light", "desk", milliseconds(50), {}, seconds(10));
  cr_assert_gt(admitted, 0.8, "%f", admitted);
}

Test(FrontGate, AFavouredClassGoesBeforeTheRestOfItsTenant) {
  // The radio desks of a tenant wait behind its own archive scan, after
  // another tenant's load has ended. The door lets 200 a second in.
  Door door;
  door.Admitted("heavy", "normal", milliseconds(1), {}, seconds(2));
  double desk = 0;
  double archive = 0;
  for (int at = 4'000; at < 14'000; ++at) {
    archive += door.Arrive("light", "archive", milliseconds(at)) ? 0 : 1;
    if (at % 6 == 0) {
      desk += door.Arrive("light", "desk", milliseconds(at)) ? 0 : 1;
    }
  }
  cr_assert_gt(desk, 0.8 * 1'666, "%f", desk);
  cr_assert_gt(archive, 200, "%f", archive);
}

Test(FrontGate, MadeUpClassesGainNothing) {
  // A caller gets a share for each class name it invents.
  Door door;
  double invented = 0;
  double archive = 0;
  for (int at = 0; at < 10'000; ++at) {
    const std::string name = "class-" + std::to_string(at % 7);
    invented += door.Arrive("light", name.c_str(), milliseconds(at)) ? 0 : 1;
    archive += door.Arrive("light", "archive", milliseconds(at)) ? 0 : 1;
  }
  cr_assert_lt(invented, 1.2 * archive, "%f %f", invented, archive);
}

Test(FrontGate, ThoseUnderTheirShareAreBoundedToo) {
  // Targets drown although each of many tenants is under its share.
  Door door;
  for (int tenant = 0; tenant < 100; ++tenant) {
    const std::string name = "tenant-" + std::to_string(tenant);
    door.Arrive(name.c_str(), "normal", milliseconds(1));
  }
  cr_assert_eq(door.gate.in_flight(), 12);
}

Test(FrontGate, RefusalsOfTargetsAndSlownessShrinkTheLimit) {
  Door door;
  door.sub_refused = 1;
  door.Admitted("light", "desk", milliseconds(50), {}, seconds(2));
  cr_assert_lt(door.gate.limit(), 3.0);
  Door slow;
  slow.took = milliseconds(300);
  slow.Admitted("light", "desk", milliseconds(50), {}, seconds(5));
  cr_assert_lt(slow.gate.limit(), 3.0);
}

Test(FrontGate, OneBurstOfSlowQueriesShrinksTheLimitOnce) {
  // A pause of a second shrinks the limit to nothing: all that was in flight
  // is slow, and each of these queries counts as news.
  Door door;
  FrontGate gate({.front = door.front, .first_limit = 100.0});
  const TimePoint start{seconds(100)};
  const TimePoint deadline = start + seconds(2);
  for (int query = 0; query < 100; ++query) {
    gate.Arrive({TenantId("heavy"), "normal", deadline}, start);
  }
  for (int query = 0; query < 100; ++query) {
    const GateSample sample{
        .tenant = TenantId("heavy"), .start = start, .deadline = deadline};
    gate.Finish(sample, start + milliseconds(1500 + query));
  }
  cr_assert_eq(gate.limit(), 80.0);
}

Test(FrontGate, TwoSecondsAfterAnOverloadNothingIsRefused) {
  // An outage that outlives its cause: the load is back to normal, but the
  // front goes on refusing with the limit of the bad times.
  Door door;
  door.sub_refused = 1;
  door.Admitted("light", "desk", milliseconds(50), {}, seconds(5));
  door.sub_refused = 0;
  int refused = 0;
  for (int at = 5'000; at < 10'000; at += 10) {
    const bool late = at >= 7'000;
    const auto refusal = door.Arrive("heavy", "normal", milliseconds(at));
    refused += late && refusal ? 1 : 0;
  }
  cr_assert_eq(refused, 0);
}

Test(FrontGate, WhatCantBeDoneInTimeIsRefused) {
  Door door;
  for (int at = 0; at < 2'000; at += 10) {
    door.Arrive("heavy", "normal", milliseconds(at));
  }
  cr_assert(
      door.Arrive("heavy", "normal", milliseconds(2'000), milliseconds(20)));
}

Test(FrontGate, WithNothingInFlightAShortDeadlineIsTried) {
  // Refused for ever: queries were slow once, all callers have deadlines
  // shorter than that, and as none is admitted nobody sees that it is over.
  Door door;
  for (int at = 0; at < 2'000; at += 10) {
    door.Arrive("heavy", "normal", milliseconds(at));
  }
  cr_assert(!door.Arrive("heavy", "normal", seconds(5), milliseconds(20)));
}

}  // namespace
}  // namespace knapweedroad
