// The names that callers and targets speak with an entry host.
//
// An entry host reads and writes these headers itself and passes all others
// on. The defaults are the project's own; an adapter gives others.

#ifndef KNAPWEEDROAD_EDGE_HEADER_NAMES_H_
#define KNAPWEEDROAD_EDGE_HEADER_NAMES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

// A target's report of its load, as far as it could be read.
struct TargetLoadReport {
  std::optional<TargetLoad> load;
  // Whether the report, or a part of it, was ignored.
  bool is_malformed = false;
};

struct HeaderNames {
  // To a target: the name of the client account that sent the request. Lines
  // of callers with this name aren't passed on if the configuration has
  // accounts.
  std::string account = "Knapweed-Account";
  // From the caller, echoed by targets and to the caller.
  std::string request_id = "Knapweed-Request-Id";
  // Milliseconds that the sender goes on waiting.
  std::string time_left = "Knapweed-Deadline-Ms";
  // To a target: which one is meant.
  std::string expected_target = "Knapweed-Target";
  // From a target: which one it is.
  std::string target = "Knapweed-Target";
  // From a target: proof that it made this answer.
  std::string seal = "Knapweed-Seal";
  // To the caller: the seals of the parts in an answer, and how many are not.
  std::string part_seals = "Knapweed-Part-Seals";
  std::string missing_parts = "Knapweed-Missing-Parts";
  // From a target, with any value: it ran nothing.
  std::string not_run = "Knapweed-Not-Run";
  // From a target: how busy it is.
  std::string load = "Knapweed-Load";
  // From a target's health answer: for how long it bears little.
  std::string cold_left = "Knapweed-Cold-Left-Ms";
  // Where the platform asks whether the host takes new connections.
  std::string ready_path = "/ready";

  // Read the values of `load` and `cold_left`; nothing if they are malformed.
  std::function<TargetLoadReport(std::string_view)> parse_load;
  std::function<std::optional<Duration>(std::string_view)> parse_cold_left;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_HEADER_NAMES_H_
