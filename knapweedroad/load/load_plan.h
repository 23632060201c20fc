// A scenario of the load command: the calls that clients send, and the faults
// and zone changes injected during the run.
//
//   auto plan = ReadLoadPlan(text);
//   if (!plan) for (const std::string& error : plan.error()) ...
//
// A scenario contains no addresses, so that it can run against any deployment
// that has its fronts.

#ifndef KNAPWEEDROAD_LOAD_LOAD_PLAN_H_
#define KNAPWEEDROAD_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/testing/history_checker.h"

namespace knapweedroad {

// The share of a stream's calls that one tenant sends in one request class.
struct CallerMix {
  TenantId tenant;
  std::string request_class;
  // Weight relative to the other entries of the stream.
  double share = 1.0;
};

// A stream of calls to one front at a constant mean rate.
struct CallStream {
  FrontId front;
  bool is_search = true;
  double rate_per_second = 0.0;
  // Active period since the start of the run. `until` defaults to the end of
  // the run.
  Duration from{};
  Duration until{};
  Duration deadline{};
  std::vector<CallerMix> callers;
  // Maximum number of hits requested by a search.
  uint32_t limit = 100;
  // Number of distinct queries or records that calls choose from.
  uint32_t distinct_subjects = 1000;
  // For record fronts: the share of calls that are lookups with an idempotency
  // key.
  double lookup_share = 0.0;
  // The share of calls that the client cancels at a random time before the
  // deadline.
  double cancel_share = 0.0;
};

// A fault or zone change that is applied to the deployment during a run.
struct TimelineEvent {
  Duration at{};
  // A fault that is sent to the selected targets: those whose name matches
  // `targets` (see MatchesPatterns()) in `target_zone` (all zones if absent),
  // and of these every `every`-th.
  std::string fault;
  std::string targets = "*";
  std::optional<ZoneId> target_zone;
  uint32_t every = 1;
  // If set, the event is no fault: it takes this zone out of service, or back
  // into service if `take_zone_out` is false.
  std::optional<ZoneId> zone;
  bool take_zone_out = false;
};

struct LoadPlan {
  std::string name;
  uint64_t seed = 1;
  Duration duration{};
  // Calls planned before this time are checked for violations but left out of
  // the totals.
  Duration warm_up{};
  // Maximum number of unanswered calls. Calls that are due above it are not
  // sent, and are reported as skipped by the generator.
  uint32_t max_outstanding = 5000;
  // Maximum number of times that a lookup with an unknown outcome is resent,
  // through the next host with the same idempotency key.
  uint32_t resends = 2;
  std::vector<FrontTruth> fronts;
  std::vector<CallStream> streams;
  std::vector<TimelineEvent> timeline;
};

// Parses JSON with comments. On failure, returns all errors, each with the JSON
// path of the invalid field.
tl::expected<LoadPlan, std::vector<std::string>> ReadLoadPlan(
    std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_PLAN_H_
