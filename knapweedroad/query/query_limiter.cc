#include "knapweedroad/query/query_limiter.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "knapweedroad/query/fair_share.h"

namespace knapweedroad {
namespace {

// The time constant of the decay of Flow's counts, and how long a refusal
// counts as overload.
constexpr Duration kCountDecayTime = std::chrono::seconds(1);
// How far flows under their fair share may exceed the limit: by this fraction
// of it, but by at least kMinExtraLimit queries.
constexpr double kExtraLimitFraction = 0.5;
constexpr double kMinExtraLimit = 1.0;
// The factor by which congestion reduces the limit.
constexpr double kLimitReductionFactor = 0.8;
// The weight of the last query in the fraction of congested ones, and the
// fraction above which the limit is reduced. It is well above zero because a
// single slow query is not congestion.
constexpr double kCongestionSampleWeight = 0.05;
constexpr double kCongestedFractionThreshold = 0.25;
// The limit grows only while at least this fraction of it is in use.
constexpr double kLimitUsedFraction = 0.8;
// The maximum total weight of the histogram of durations, in queries.
constexpr double kDurationHistogramWindow = 500.0;
// The quantile of recent durations that a query's deadline must allow.
constexpr double kFastQueryQuantile = 0.1;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr double kMaxRetryAfterSeconds = 10.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QueryLimiter::QueryLimiter(QueryLimiterOptions options)
    : options(options),
      in_flight_limit(options.initial_limit),
      durations(kDurationHistogramWindow) {}

std::optional<QueryRefusal> QueryLimiter::TryAdmit(
    const QueryAdmissionRequest& request,
    TimePoint now) {
  this->DecayCounts(now);
  const FlowKey key = this->FlowKeyFor(request.tenant, request.class_name);
  Flow& flow = this->FindOrAddFlow(key);
  flow.arrived += 1.0;
  if (this->CannotMeetDeadline(request, now)) {
    return this->Refuse(503, "it can't be done by its deadline", now);
  }
  if (this->in_flight_queries >= this->in_flight_limit) {
    // Flows under their share may exceed the limit. While they do, no other
    // flow is admitted: otherwise each free slot would go to the flow that
    // sends the most queries.
    if (this->IsOverFairShare(key)) {
      return this->Refuse(429, "the tenant or class is over its share", now);
    }
    if (this->in_flight_queries >= this->LimitForFlowsUnderShare()) {
      return this->Refuse(503, "too many queries are in flight", now);
    }
  }
  flow.admitted += 1.0;
  this->in_flight_queries += 1;
  return std::nullopt;
}

void QueryLimiter::Finish(const FinishedQuery& query, TimePoint now) {
  const bool limit_was_used =
      this->in_flight_queries >= kLimitUsedFraction * this->in_flight_limit;
  this->in_flight_queries -= std::min<uint32_t>(this->in_flight_queries, 1);
  if (query.abandoned) {
    return;
  }
  const Duration duration = now - query.start;
  const double time_allowed = Seconds(query.deadline - query.start);
  const bool is_slow =
      Seconds(duration) > this->options.slow_fraction * time_allowed;
  this->durations.Record(duration);
  const bool is_congested = query.refused_sub_requests > 0 || is_slow;
  this->congested_fraction +=
      kCongestionSampleWeight *
      ((is_congested ? 1.0 : 0.0) - this->congested_fraction);
  if (this->congested_fraction > kCongestedFractionThreshold) {
    this->ReduceLimit(now, duration);
  } else if (limit_was_used && !is_congested) {
    this->in_flight_limit =
        std::min(this->in_flight_limit + 1.0 / this->in_flight_limit,
                 this->options.max_limit);
  }
}

bool QueryLimiter::IsOverloaded(TimePoint now) const {
  return this->last_refused && now - *this->last_refused < kCountDecayTime;
}

QueryLimiter::FlowKey QueryLimiter::FlowKeyFor(
    const TenantId& tenant,
    const std::string& class_name) const {
  for (const TenantConfig& config : this->options.front.tenants) {
    if (config.name == tenant && config.class_weights.contains(class_name)) {
      return {tenant, class_name};
    }
  }
  return {tenant, {}};
}

QueryLimiter::Flow& QueryLimiter::FindOrAddFlow(const FlowKey& key) {
  const auto [flow, is_new] = this->flows.try_emplace(key);
  if (is_new) {
    for (const TenantConfig& config : this->options.front.tenants) {
      const auto weight = config.class_weights.find(key.class_name);
      if (config.name == key.tenant && weight != config.class_weights.end()) {
        flow->second.weight = weight->second;
      }
    }
  }
  return flow->second;
}

double QueryLimiter::TenantWeight(const TenantId& tenant) const {
  for (const TenantConfig& config : this->options.front.tenants) {
    if (config.name == tenant) {
      return config.weight;
    }
  }
  return 1.0;
}

void QueryLimiter::DecayCounts(TimePoint now) {
  if (now <= this->last_decayed) {
    return;
  }
  const double decay_factor =
      std::exp(-Seconds(now - this->last_decayed) / Seconds(kCountDecayTime));
  this->last_decayed = now;
  for (auto& [key, flow] : this->flows) {
    flow.arrived *= decay_factor;
    flow.admitted *= decay_factor;
  }
}

double QueryLimiter::LimitForFlowsUnderShare() const {
  return this->in_flight_limit +
         std::max(kMinExtraLimit, kExtraLimitFraction * this->in_flight_limit);
}

bool QueryLimiter::IsOverFairShare(const FlowKey& key) const {
  double capacity = 0.0;
  std::map<TenantId, double> demand_by_tenant;
  for (const auto& [flow_key, flow] : this->flows) {
    capacity += flow.admitted;
    demand_by_tenant[flow_key.tenant] += flow.arrived;
  }
  std::vector<WeightedDemand> demands;
  size_t own_index = 0;
  for (const auto& [tenant, demand] : demand_by_tenant) {
    own_index = tenant == key.tenant ? demands.size() : own_index;
    demands.push_back({demand, this->TenantWeight(tenant)});
  }
  const double tenant_share = FairShares(capacity, demands)[own_index];
  demands.clear();
  for (const auto& [flow_key, flow] : this->flows) {
    if (flow_key.tenant == key.tenant) {
      own_index = flow_key == key ? demands.size() : own_index;
      demands.push_back({flow.arrived, flow.weight});
    }
  }
  const double share = FairShares(tenant_share, demands)[own_index];
  return this->flows.at(key).admitted >= std::max(share, 1.0);
}

// Always false while nothing is in flight. Only admitted queries are measured,
// so if all were refused, no shorter duration would ever be recorded.
bool QueryLimiter::CannotMeetDeadline(const QueryAdmissionRequest& request,
                                      TimePoint now) const {
  const auto fast_duration = this->durations.Quantile(kFastQueryQuantile);
  return this->in_flight_queries > 0 && fast_duration &&
         now + *fast_duration > request.deadline;
}

// `retry_after` is the time in which the front can serve the queries of the
// last second: if all refused queries return evenly spread over that time, the
// front can admit them.
QueryRefusal QueryLimiter::Refuse(int status,
                                  const char* detail,
                                  TimePoint now) {
  this->last_refused = now;
  double arrived = 0.0;
  double admitted = 0.0;
  for (const auto& [key, flow] : this->flows) {
    arrived += flow.arrived;
    admitted += flow.admitted;
  }
  const double seconds =
      std::min(arrived / std::max(admitted, 1.0), kMaxRetryAfterSeconds);
  const auto retry_after = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  return {.status = status,
          .title = "Overloaded",
          .detail = detail,
          .outcome = RunOutcome::kNotRun,
          .retry_after = std::max(retry_after, kMinRetryAfter)};
}

void QueryLimiter::ReduceLimit(TimePoint now, Duration duration) {
  // Queries that finish within this time were admitted under the limit before
  // the last reduction, so they say nothing about the present limit.
  if (this->last_reduced && now - *this->last_reduced < duration) {
    return;
  }
  this->last_reduced = now;
  this->congested_fraction = 0.0;
  this->in_flight_limit = std::max(
      this->in_flight_limit * kLimitReductionFactor, this->options.min_limit);
}

}  // namespace knapweedroad
