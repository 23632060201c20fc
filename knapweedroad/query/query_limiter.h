// Overload control on a coordinating host: admits or refuses a whole query
// before any of its sub-requests is sent.
//
//   QueryLimiter limiter({.front = front});
//   auto error = limiter.TryAdmit({tenant, "normal", now + 500ms}, now);
//   if (error) {
//     return *error;
//   }
//   ... a QueryRun ...
//   limiter.Finish({.tenant = tenant, .class_name = "normal", ...}, now);
//   state.SetOverloaded(limiter.IsOverloaded(now));

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
  // The front whose queries are limited; it must outlive the limiter.
  const FrontConfig& front;
  // The number of queries that may be in flight: at first, at least, and at
  // most.
  double initial_limit = 8.0;
  double min_limit = 1.0;
  double max_limit = 10'000.0;
  // A query is slow if it takes more than this fraction (0 to 1) of the time
  // from its start to its deadline.
  double slow_fraction = 0.5;
};

struct QueryAdmissionRequest {
  // A tenant of the front.
  TenantId tenant;
  // The request class that the caller sent; it need not be configured.
  std::string class_name;
  // When the caller stops waiting.
  TimePoint deadline;
};

// A query that was admitted and has ended.
struct FinishedQuery {
  TenantId tenant;
  std::string class_name;
  TimePoint start;
  TimePoint deadline;
  // The sub-requests that targets refused; QueryRunStats::refused.
  uint32_t refused_sub_requests = 0;
  // True if the caller disconnected. Such a query does not change the limit,
  // as its duration does not show how long an answer takes.
  bool abandoned = false;
};

// Limits the queries of one front that are in flight on this host, and divides
// that limit fairly among tenants and their request classes.
//
// It refuses whole queries. If targets rejected sub-requests on their own, a
// query of 10 services that each reject half would be answered in full once in
// a thousand times, and the work of the services that accepted it would be
// wasted.
//
// While the limit is in use and queries are neither slow nor refused by
// targets, it grows by about one in the duration of a query. When more than a
// quarter of recent queries are slow or had sub-requests refused, it shrinks by
// a fifth. Tenants and classes that are below their fair share of the admitted
// queries may exceed the limit by half, or by one query if that is more.
class QueryLimiter {
 public:
  explicit QueryLimiter(QueryLimiterOptions options);

  // Returns nullopt if the query is admitted; the caller then calls Finish()
  // once, when the query has ended. Otherwise returns the error to send to the
  // caller, and the query must not run: 429 if the tenant or class is over its
  // fair share, 503 if too many queries are in flight or the query is unlikely
  // to finish by its deadline. The error's `retry_after` is 1 to 10 seconds.
  std::optional<QueryRefusal> TryAdmit(const QueryAdmissionRequest& request,
                                       TimePoint now);

  // Records the end of an admitted query and adjusts the limit.
  void Finish(const FinishedQuery& query, TimePoint now);

  // Returns true if a query was refused in the last second. The caller then
  // suspends hedges and retries; see FrontState::SetOverloaded().
  bool IsOverloaded(TimePoint now) const;

  // Returns the current limit, without the excess for flows under their share.
  double limit() const { return this->in_flight_limit; }
  uint32_t in_flight() const { return this->in_flight_queries; }

 private:
  // The tenant and request class that a query counts for. All classes of a
  // tenant that are not configured have the empty name and share one flow, so
  // that a caller gains nothing by inventing class names.
  struct FlowKey {
    TenantId tenant;
    std::string class_name;
    auto operator<=>(const FlowKey&) const = default;
  };
  // The queries of one key. The counts decay exponentially and reflect about
  // the last second.
  struct Flow {
    // The configured weight of the class within its tenant.
    double weight = 1.0;
    double arrived = 0.0;
    double admitted = 0.0;
  };

  FlowKey FlowKeyFor(const TenantId& tenant,
                     const std::string& class_name) const;
  Flow& FindOrAddFlow(const FlowKey& key);
  double TenantWeight(const TenantId& tenant) const;
  void DecayCounts(TimePoint now);
  // Returns the higher limit that applies to flows under their fair share.
  double LimitForFlowsUnderShare() const;
  // Returns true if the flow has had at least its fair share of the queries
  // admitted in the last second.
  bool IsOverFairShare(const FlowKey& key) const;
  // Returns true if even a query as fast as the fastest tenth of recent ones
  // would miss the deadline.
  bool CannotMeetDeadline(const QueryAdmissionRequest& request,
                          TimePoint now) const;
  // Returns the error and records that a query was refused at `now`.
  QueryRefusal Refuse(int status, const char* detail, TimePoint now);
  // Reduces the limit, at most once per `duration`, that of the last query.
  void ReduceLimit(TimePoint now, Duration duration);

  QueryLimiterOptions options;
  double in_flight_limit;
  uint32_t in_flight_queries = 0;
  std::map<FlowKey, Flow> flows;
  TimePoint last_decayed;
  std::optional<TimePoint> last_refused;
  std::optional<TimePoint> last_reduced;
  // The exponentially weighted fraction of finished queries that were slow or
  // had sub-requests refused, since the limit was last reduced.
  double congested_fraction = 0.0;
  // The durations of finished queries that were not abandoned.
  DecayingHistogram durations;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_LIMITER_H_
