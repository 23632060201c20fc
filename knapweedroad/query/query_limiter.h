// Overload control at a coordinator's door: whole queries are admitted or
// refused at once, before any sub-request is sent.
//
//   QueryLimiter limiter({.front = front});
//   if (auto refusal = limiter.TryAdmit({tenant, "normal", now + 500ms}, now))
//   {
//     return *refusal;
//   }
//   ... a QueryRun ...
//   limiter.Finish({.tenant = tenant, .class_name = "normal", ...}, now);
//   state.SetOverloaded(limiter.IsOverloaded(now));
//
// Sheds whole queries. If targets shed sub-requests on their own_index, a query
// of 10 services that each refuse half comes through whole once in a thousand,
// and the work on the others is wasted.
//
// The limit on queries in flight grows by about one in the time of a query
// while it is used and queries are quick, and shrinks by a fifth when targets
// refuse or queries take much of their time. Tenants and classes under their
// fair share of what is admitted may go above it by half.

#ifndef KNAPWEEDROAD_QUERY_QUERY_LIMITER_H_
#define KNAPWEEDROAD_QUERY_QUERY_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/latency_tracker.h"
#include "knapweedroad/query/query_answer.h"

namespace knapweedroad {

struct QueryLimiterOptions {
  // It outlives the limiter.
  const FrontConfig& front;
  double initial_limit = 8.0;
  double min_limit = 1.0;
  double max_limit = 10'000.0;
  // A query that takes a greater share of its time than this waited too long.
  double slow_fraction = 0.5;
};

struct QueryAdmissionRequest {
  // One of the front's.
  TenantId tenant;
  std::string class_name;
  TimePoint deadline;
};

// An admitted query that has ended.
struct FinishedQuery {
  TenantId tenant;
  std::string class_name;
  TimePoint start;
  TimePoint deadline;
  // QueryRunStats::refused.
  uint32_t refused_sub_requests = 0;
  // The caller left, so that its duration says nothing.
  bool abandoned = false;
};

class QueryLimiter {
 public:
  explicit QueryLimiter(QueryLimiterOptions options);

  // Nothing: it is admitted, and Finish() is called once when it has ended.
  // Else 429 where the tenant or class is over its share, 503 where the
  // front is full; neither ran.
  std::optional<QueryRefusal> TryAdmit(const QueryAdmissionRequest& request,
                                       TimePoint now);

  void Finish(const FinishedQuery& query, TimePoint now);

  // Whether something was refused here in the last second: no hedges and no
  // retries then.
  bool IsOverloaded(TimePoint now) const;

  double limit() const { return this->in_flight_limit; }
  uint32_t in_flight() const { return this->in_flight_queries; }

 private:
  // Classes that the configuration doesn't name share one flow, so that a
  // caller gains nothing from making up names.
  struct FlowKey {
    TenantId tenant;
    std::string class_name;
    auto operator<=>(const FlowKey&) const = default;
  };
  // Counts that forget: of about the last second.
  struct Flow {
    double weight = 1.0;
    double arrived = 0.0;
    double admitted = 0.0;
  };

  FlowKey FlowKeyFor(const TenantId& tenant,
                     const std::string& class_name) const;
  Flow& FindOrAddFlow(const FlowKey& key);
  double TenantWeight(const TenantId& tenant) const;
  void DecayCounts(TimePoint now);
  double LimitForFlowsUnderShare() const;
  bool IsOverFairShare(const FlowKey& key) const;
  bool CannotMeetDeadline(const QueryAdmissionRequest& request,
                          TimePoint now) const;
  QueryRefusal Refuse(int status, const char* detail, TimePoint now);
  void ReduceLimit(TimePoint now, Duration duration);

  QueryLimiterOptions options;
  double in_flight_limit;
  uint32_t in_flight_queries = 0;
  std::map<FlowKey, Flow> flows;
  TimePoint last_decayed;
  std::optional<TimePoint> last_refused;
  std::optional<TimePoint> last_reduced;
  // Share of late queries that were is_congested, forgetting.
  double congested_fraction = 0.0;
  DecayingHistogram durations;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_LIMITER_H_
