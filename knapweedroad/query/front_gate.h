// Overload control at a coordinator's door: whole queries are admitted or
// refused at once, before any sub-request is sent.
//
//   FrontGate gate({.front = front});
//   if (auto refusal = gate.Arrive({tenant, "normal", now + 500ms}, now)) {
//     return *refusal;
//   }
//   ... a QueryRun ...
//   gate.Finish({.tenant = tenant, .class_name = "normal", ...}, now);
//   state.SetOverloaded(gate.Overloaded(now));
//
// Sheds whole queries. If targets shed sub-requests on their own, a query of 10
// services that each refuse half comes through whole once in a thousand, and
// the work on the others is wasted.
//
// The limit on queries in flight grows by about one in the time of a query
// while it is used and queries are quick, and shrinks by a fifth when targets
// refuse or queries take much of their time. Tenants and classes under their
// fair share of what is admitted may go above it by half.

#ifndef KNAPWEEDROAD_QUERY_FRONT_GATE_H_
#define KNAPWEEDROAD_QUERY_FRONT_GATE_H_

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

struct FrontGateOptions {
  // It outlives the gate.
  const FrontConfig& front;
  double first_limit = 8.0;
  double lowest_limit = 1.0;
  double highest_limit = 10'000.0;
  // A query that takes a greater share of its time than this waited too long.
  double slow_share = 0.5;
};

struct GateRequest {
  // One of the front's.
  TenantId tenant;
  std::string class_name;
  TimePoint deadline;
};

// An admitted query that has ended.
struct GateSample {
  TenantId tenant;
  std::string class_name;
  TimePoint start;
  TimePoint deadline;
  // QueryRunStats::refused.
  uint32_t sub_refused = 0;
  // The caller left, so that its duration says nothing.
  bool abandoned = false;
};

class FrontGate {
 public:
  explicit FrontGate(FrontGateOptions options);

  // Nothing: it is admitted, and Finish() is called once when it has ended.
  // Else 429 where the tenant or class is over its share, 503 where the
  // front is full; neither ran.
  std::optional<QueryRefusal> Arrive(const GateRequest& request, TimePoint now);

  void Finish(const GateSample& sample, TimePoint now);

  // Whether something was refused here in the last second: no hedges and no
  // retries then.
  bool Overloaded(TimePoint now) const;

  double limit() const { return this->in_flight_limit; }
  uint32_t in_flight() const { return this->running; }

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

  FlowKey KeyOf(const TenantId& tenant, const std::string& class_name) const;
  Flow& FlowOf(const FlowKey& key);
  double TenantWeight(const TenantId& tenant) const;
  void Decay(TimePoint now);
  double LimitUnderShare() const;
  bool OverShare(const FlowKey& key) const;
  bool TooLate(const GateRequest& request, TimePoint now) const;
  QueryRefusal Refuse(int status, const char* detail, TimePoint now);
  void Shrink(TimePoint now, Duration took);

  FrontGateOptions options;
  double in_flight_limit;
  uint32_t running = 0;
  std::map<FlowKey, Flow> flows;
  TimePoint decayed_at;
  std::optional<TimePoint> refused_at;
  std::optional<TimePoint> shrunk_at;
  // Share of late queries that were congested, forgetting.
  double congestion = 0.0;
  DecayingHistogram durations;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_FRONT_GATE_H_
