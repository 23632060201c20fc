// A scenario of the load command: what callers send, and what goes wrong when.
//
//   auto plan = ReadLoadPlan(text);
//   if (!plan) for (const std::string& error : plan.error()) ...
//
// Addresses aren't part of it, so that one scenario fits every deployment that
// has its fronts.

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

// A share of a stream's calls that one tenant sends in one class.
struct CallerMix {
  TenantId tenant;
  std::string request_class;
  // Relative to the stream's others.
  double share = 1.0;
};

// Calls of one kind of callers to one front.
struct CallStream {
  FrontId front;
  bool is_search = true;
  double rate_per_second = 0.0;
  // Within the run; `until` is the run's end where the file names none.
  Duration from{};
  Duration until{};
  Duration deadline{};
  std::vector<CallerMix> callers;
  // Of searches: the most hits asked for.
  uint32_t limit = 100;
  // Different queries or records that are asked for.
  uint32_t distinct_subjects = 1000;
  // Of record fronts: the share of keyed lookups.
  double lookup_share = 0.0;
  // The share of callers that leave before their answer comes.
  double cancel_share = 0.0;
};

// Something done to the deployment during a run.
struct TimelineEvent {
  Duration at{};
  // A fault sent to the targets that match: names (see MatchesPatterns()),
  // zone (all where absent), and of these each `every`th.
  std::string fault;
  std::string targets = "*";
  std::optional<ZoneId> target_zone;
  uint32_t every = 1;
  // Or a zone that operators take out or in.
  std::optional<ZoneId> zone;
  bool take_zone_out = false;
};

struct LoadPlan {
  std::string name;
  uint64_t seed = 1;
  Duration duration{};
  // Calls planned before this are checked, but not measured.
  Duration warm_up{};
  // More calls than this at once are not sent, and reported as a fault of the
  // generator.
  uint32_t max_outstanding = 5000;
  // How often a lookup without a certain outcome is sent again, through
  // another host under the same key.
  uint32_t resends = 2;
  std::vector<FrontTruth> fronts;
  std::vector<CallStream> streams;
  std::vector<TimelineEvent> timeline;
};

// Reads JSON with comments; the error lists all that is wrong, each with its
// place in the file.
tl::expected<LoadPlan, std::vector<std::string>> ReadLoadPlan(
    std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_PLAN_H_
