#include "knapweedroad/query/query_limiter.h"

#include <criterion/criterion.h>

#include <deque>

#include "knapweedroad/query/fair_share.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A front of two tenants whose queries take 40 ms and have a timeout of 400 ms.
// At most 8 are in flight, so it admits about 200 queries per second.
class QueryLimiterFixture {
 public:
  QueryLimiterFixture() {
    this->front.tenants = {{.name = TenantId("heavy"), .weight = 1},
                           {.name = TenantId("light"),
                            .weight = 1,
                            .class_weights = {{"desk", 8}, {"archive", 1}}}};
  }

  // Finishes the queries that end by `at`, then tries to admit one.
  std::optional<QueryRefusal> TryAdmit(const char* tenant,
                                       const char* class_name,
                                       Duration at,
                                       Duration timeout = milliseconds(400)) {
    const TimePoint now = TimePoint(seconds(100)) + at;
    this->FinishDueQueries(now);
    const QueryAdmissionRequest request{TenantId(tenant), class_name,
                                        now + timeout};
    auto refusal = this->limiter.TryAdmit(request, now);
    if (!refusal) {
      this->in_flight_queries.push_back(
          {.tenant = request.tenant,
           .class_name = class_name,
           .start = now,
           .deadline = request.deadline,
           .refused_sub_requests = this->refused_sub_requests});
    }
    return refusal;
  }

  // Sends one query per `interval`, beside 1000 queries per second of the heavy
  // tenant, and returns the fraction of the former that was admitted.
  double AdmittedFraction(const char* tenant,
                          const char* class_name,
                          Duration interval,
                          Duration from,
                          Duration until) {
    double arrived = 0;
    double admitted = 0;
    for (Duration at = from; at < until; at += milliseconds(1)) {
      this->TryAdmit("heavy", "normal", at);
      if (at % interval == Duration::zero()) {
        arrived += 1;
        admitted += this->TryAdmit(tenant, class_name, at) ? 0 : 1;
      }
    }
    return admitted / arrived;
  }

  void FinishDueQueries(TimePoint now) {
    while (!this->in_flight_queries.empty() &&
           this->in_flight_queries.front().start + this->query_duration <=
               now) {
      this->limiter.Finish(
          this->in_flight_queries.front(),
          this->in_flight_queries.front().start + this->query_duration);
      this->in_flight_queries.pop_front();
    }
  }

  FrontConfig front;
  QueryLimiter limiter{{.front = this->front, .max_limit = 8.0}};
  std::deque<FinishedQuery> in_flight_queries;
  Duration query_duration = milliseconds(40);
  uint32_t refused_sub_requests = 0;
};

Test(FairShares, DividesUnusedCapacityByWeight) {
  const std::vector<WeightedDemand> demands{{100, 3}, {2, 1}, {100, 1}};
  const auto shares = FairShares(10, demands);
  cr_assert_float_eq(shares[0], 6.0, 1e-9);
  cr_assert_float_eq(shares[1], 2.0, 1e-9);
  cr_assert_float_eq(shares[2], 2.0, 1e-9);
}

Test(QueryLimiter, RefusesQueriesAtTheLimit) {
  QueryLimiterFixture fixture;
  for (int query = 0; query < 8; ++query) {
    cr_assert(!fixture.TryAdmit("heavy", "normal", milliseconds(0)));
  }
  const auto refusal = fixture.TryAdmit("heavy", "normal", milliseconds(1));
  cr_assert(refusal.has_value());
  cr_assert(refusal->outcome == RunOutcome::kNotRun);
  cr_assert_geq(refusal->retry_after, seconds(1));
  const TimePoint refused_at = TimePoint(seconds(100)) + milliseconds(1);
  cr_assert(fixture.limiter.IsOverloaded(refused_at + milliseconds(900)));
  cr_assert(!fixture.limiter.IsOverloaded(refused_at + seconds(1)));
}

Test(QueryLimiter, AdmitsALightTenantBesideAHeavyOne) {
  // Without fair shares, a tenant that sends 1000 queries per second takes
  // nearly all of the 200 that are admitted, and one that sends 20 gets none.
  QueryLimiterFixture fixture;
  const double admitted = fixture.AdmittedFraction(
      "light", "desk", milliseconds(50), {}, seconds(10));
  cr_assert_gt(admitted, 0.8, "%f", admitted);
}

Test(QueryLimiter, PrefersTheClassWithTheHigherWeight) {
  // Guards against interactive queries of a tenant being refused because its
  // own batch queries use the whole limit, after another tenant's load has
  // ended.
  QueryLimiterFixture fixture;
  fixture.AdmittedFraction("heavy", "normal", milliseconds(1), {}, seconds(2));
  double desk = 0;
  double archive = 0;
  for (int at = 4'000; at < 14'000; ++at) {
    archive += fixture.TryAdmit("light", "archive", milliseconds(at)) ? 0 : 1;
    if (at % 6 == 0) {
      desk += fixture.TryAdmit("light", "desk", milliseconds(at)) ? 0 : 1;
    }
  }
  cr_assert_gt(desk, 0.8 * 1'666, "%f", desk);
  cr_assert_gt(archive, 200, "%f", archive);
}

Test(QueryLimiter, UnconfiguredClassesShareOneFlow) {
  // Guards against a caller getting a share for each class name it invents.
  QueryLimiterFixture fixture;
  double invented = 0;
  double archive = 0;
  for (int at = 0; at < 10'000; ++at) {
    const std::string class_name = "class-" + std::to_string(at % 7);
    invented +=
        fixture.TryAdmit("light", class_name.c_str(), milliseconds(at)) ? 0 : 1;
    archive += fixture.TryAdmit("light", "archive", milliseconds(at)) ? 0 : 1;
  }
  cr_assert_lt(invented, 1.2 * archive, "%f %f", invented, archive);
}

Test(QueryLimiter, BoundsTheExcessOfTenantsUnderTheirShare) {
  // Guards against overloaded targets when many tenants send queries and each
  // is under its share.
  QueryLimiterFixture fixture;
  for (int tenant = 0; tenant < 100; ++tenant) {
    const std::string tenant_name = "tenant-" + std::to_string(tenant);
    fixture.TryAdmit(tenant_name.c_str(), "normal", milliseconds(1));
  }
  cr_assert_eq(fixture.limiter.in_flight(), 12);
}

Test(QueryLimiter, RefusedSubRequestsAndSlowQueriesReduceTheLimit) {
  QueryLimiterFixture fixture;
  fixture.refused_sub_requests = 1;
  fixture.AdmittedFraction("light", "desk", milliseconds(50), {}, seconds(2));
  cr_assert_lt(fixture.limiter.limit(), 3.0);
  QueryLimiterFixture slow_fixture;
  slow_fixture.query_duration = milliseconds(300);
  slow_fixture.AdmittedFraction("light", "desk", milliseconds(50), {},
                                seconds(5));
  cr_assert_lt(slow_fixture.limiter.limit(), 3.0);
}

Test(QueryLimiter, ABurstOfSlowQueriesReducesTheLimitOnce) {
  // Guards against a pause of a second reducing the limit to the minimum: all
  // queries in flight are slow then, and each of them would reduce the limit.
  QueryLimiterFixture fixture;
  QueryLimiter limiter({.front = fixture.front, .initial_limit = 100.0});
  const TimePoint start{seconds(100)};
  const TimePoint deadline = start + seconds(2);
  for (int query = 0; query < 100; ++query) {
    limiter.TryAdmit({TenantId("heavy"), "normal", deadline}, start);
  }
  for (int query = 0; query < 100; ++query) {
    const FinishedQuery finished{
        .tenant = TenantId("heavy"), .start = start, .deadline = deadline};
    limiter.Finish(finished, start + milliseconds(1500 + query));
  }
  cr_assert_eq(limiter.limit(), 80.0);
}

Test(QueryLimiter, RefusesNothingTwoSecondsAfterAnOverload) {
  // Guards against an outage that persists after its cause: the load is normal
  // again, but queries are still refused by the limit reduced under overload.
  QueryLimiterFixture fixture;
  fixture.refused_sub_requests = 1;
  fixture.AdmittedFraction("light", "desk", milliseconds(50), {}, seconds(5));
  fixture.refused_sub_requests = 0;
  int refused = 0;
  for (int at = 5'000; at < 10'000; at += 10) {
    const bool is_checked = at >= 7'000;
    const auto refusal = fixture.TryAdmit("heavy", "normal", milliseconds(at));
    refused += is_checked && refusal ? 1 : 0;
  }
  cr_assert_eq(refused, 0);
}

Test(QueryLimiter, RefusesQueriesThatCannotMeetTheirDeadline) {
  QueryLimiterFixture fixture;
  for (int at = 0; at < 2'000; at += 10) {
    fixture.TryAdmit("heavy", "normal", milliseconds(at));
  }
  cr_assert(fixture.TryAdmit("heavy", "normal", milliseconds(2'000),
                             milliseconds(20)));
}

Test(QueryLimiter, AdmitsAShortDeadlineWhenNothingIsInFlight) {
  // Guards against refusing queries for ever: if all deadlines are shorter than
  // the recorded durations and no query is admitted, no shorter duration is
  // ever recorded.
  QueryLimiterFixture fixture;
  for (int at = 0; at < 2'000; at += 10) {
    fixture.TryAdmit("heavy", "normal", milliseconds(at));
  }
  cr_assert(!fixture.TryAdmit("heavy", "normal", seconds(5), milliseconds(20)));
}

}  // namespace
}  // namespace knapweedroad
