#include "knapweedroad/query/front_gate.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "knapweedroad/query/fair_share.h"

namespace knapweedroad {
namespace {

constexpr Duration kMemory = std::chrono::seconds(1);
// Room above the limit for those under their share, as a part of the limit and
// at least.
constexpr double kShareRoom = 0.5;
constexpr double kLeastShareRoom = 1.0;
constexpr double kShrink = 0.8;
// Weight of the last query in the share of congested ones, and the share
// above which the limit shrinks. A straggler now and then isn't congestion.
constexpr double kCongestionWeight = 0.05;
constexpr double kCongested = 0.25;
constexpr double kUsedShare = 0.8;
constexpr double kDurationWindow = 500.0;
constexpr double kFastestQuantile = 0.1;
constexpr Duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr double kLongestRetryAfterSeconds = 10.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

FrontGate::FrontGate(FrontGateOptions options)
    : options(options),
      in_flight_limit(options.first_limit),
      durations(kDurationWindow) {}

std::optional<QueryRefusal> FrontGate::Arrive(const GateRequest& request,
                                              TimePoint now) {
  this->Decay(now);
  const FlowKey key = this->KeyOf(request.tenant, request.class_name);
  Flow& flow = this->FlowOf(key);
  flow.arrived += 1.0;
  if (this->TooLate(request, now)) {
    return this->Refuse(503, "it can't be done by its deadline", now);
  }
  if (this->running >= this->in_flight_limit) {
    // Tenants under their share have some room above the limit, and while they
    // use it nobody else is let in: free slots would go to whoever asks most
    // often.
    if (this->OverShare(key)) {
      return this->Refuse(429, "the tenant or class is over its share", now);
    }
    if (this->running >= this->LimitUnderShare()) {
      return this->Refuse(503, "too many queries are in flight", now);
    }
  }
  flow.admitted += 1.0;
  this->running += 1;
  return std::nullopt;
}

void FrontGate::Finish(const GateSample& sample, TimePoint now) {
  const bool was_used = this->running >= kUsedShare * this->in_flight_limit;
  this->running -= std::min<uint32_t>(this->running, 1);
  if (sample.abandoned) {
    return;
  }
  const Duration took = now - sample.start;
  const double allowed = Seconds(sample.deadline - sample.start);
  const bool slow = Seconds(took) > this->options.slow_share * allowed;
  this->durations.Record(took);
  const bool congested = sample.sub_refused > 0 || slow;
  this->congestion +=
      kCongestionWeight * ((congested ? 1.0 : 0.0) - this->congestion);
  if (this->congestion > kCongested) {
    this->Shrink(now, took);
  } else if (was_used && !congested) {
    this->in_flight_limit =
        std::min(this->in_flight_limit + 1.0 / this->in_flight_limit,
                 this->options.highest_limit);
  }
}

bool FrontGate::Overloaded(TimePoint now) const {
  return this->refused_at && now - *this->refused_at < kMemory;
}

FrontGate::FlowKey FrontGate::KeyOf(const TenantId& tenant,
                                    const std::string& class_name) const {
  for (const TenantConfig& config : this->options.front.tenants) {
    if (config.name == tenant && config.class_weights.contains(class_name)) {
      return {tenant, class_name};
    }
  }
  return {tenant, {}};
}

FrontGate::Flow& FrontGate::FlowOf(const FlowKey& key) {
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

double FrontGate::TenantWeight(const TenantId& tenant) const {
  for (const TenantConfig& config : this->options.front.tenants) {
    if (config.name == tenant) {
      return config.weight;
    }
  }
  return 1.0;
}

void FrontGate::Decay(TimePoint now) {
  if (now <= this->decayed_at) {
    return;
  }
  const double keep =
      std::exp(-Seconds(now - this->decayed_at) / Seconds(kMemory));
  this->decayed_at = now;
  for (auto& [key, flow] : this->flows) {
    flow.arrived *= keep;
    flow.admitted *= keep;
  }
}

double FrontGate::LimitUnderShare() const {
  return this->in_flight_limit +
         std::max(kLeastShareRoom, kShareRoom * this->in_flight_limit);
}

bool FrontGate::OverShare(const FlowKey& key) const {
  double capacity = 0.0;
  std::map<TenantId, double> demand_of;
  for (const auto& [flow_key, flow] : this->flows) {
    capacity += flow.admitted;
    demand_of[flow_key.tenant] += flow.arrived;
  }
  std::vector<Demand> demands;
  size_t own = 0;
  for (const auto& [tenant, demand] : demand_of) {
    own = tenant == key.tenant ? demands.size() : own;
    demands.push_back({demand, this->TenantWeight(tenant)});
  }
  const double tenant_share = FairShares(capacity, demands)[own];
  demands.clear();
  for (const auto& [flow_key, flow] : this->flows) {
    if (flow_key.tenant == key.tenant) {
      own = flow_key == key ? demands.size() : own;
      demands.push_back({flow.arrived, flow.weight});
    }
  }
  const double share = FairShares(tenant_share, demands)[own];
  return this->flows.at(key).admitted >= std::max(share, 1.0);
}

// Never with nothing in flight: the durations are those of queries that were
// admitted, and if all were refused no shorter one would ever be seen.
bool FrontGate::TooLate(const GateRequest& request, TimePoint now) const {
  const auto fastest = this->durations.Quantile(kFastestQuantile);
  return this->running > 0 && fastest && now + *fastest > request.deadline;
}

// Truthful in the mean: if all that is refused now came back spread over this
// time, the front could take it.
QueryRefusal FrontGate::Refuse(int status, const char* detail, TimePoint now) {
  this->refused_at = now;
  double arrived = 0.0;
  double admitted = 0.0;
  for (const auto& [key, flow] : this->flows) {
    arrived += flow.arrived;
    admitted += flow.admitted;
  }
  const double seconds =
      std::min(arrived / std::max(admitted, 1.0), kLongestRetryAfterSeconds);
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  return {.status = status,
          .title = "Overloaded",
          .detail = detail,
          .outcome = RunOutcome::kNotRun,
          .retry_after = std::max(wait, kShortestRetryAfter)};
}

void FrontGate::Shrink(TimePoint now, Duration took) {
  // Once in the time of a query: what is in flight was admitted under the
  // limit of before.
  if (this->shrunk_at && now - *this->shrunk_at < took) {
    return;
  }
  this->shrunk_at = now;
  this->congestion = 0.0;
  this->in_flight_limit =
      std::max(this->in_flight_limit * kShrink, this->options.lowest_limit);
}

}  // namespace knapweedroad
