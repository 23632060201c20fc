// What a QueryRun knows of one service.

#ifndef KNAPWEEDROAD_QUERY_QUERY_PART_H_
#define KNAPWEEDROAD_QUERY_QUERY_PART_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/sub_reply.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct QueryAttempt {
  AttemptId id;
  TargetId target;
  ZoneId zone;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  TimePoint sent;
};

enum class PartState : uint8_t { kOpen, kAnswered, kGivenUp };

struct QueryPart {
  ServiceId service;
  // From the manifest.
  uint32_t units = 0;
  PartState state = PartState::kOpen;
  std::vector<QueryAttempt> live;
  // Targets that aren't asked again in this round.
  std::vector<TargetId> tried;
  // When the one live attempt counts as slow.
  std::optional<TimePoint> hedge_at;
  // When to ask again; nothing is live until then.
  std::optional<TimePoint> retry_at;
  // The shortest time that a refusal named.
  std::optional<Duration> retry_after;
  // A target said that it doesn't hold the pinned snapshot, or none does.
  bool snapshot_lost = false;
  // A target was asked again because its connection had failed.
  bool asked_again = false;
  // Times that all targets have been asked in vain.
  uint32_t rounds = 0;
  // Of the answer; at most `units`.
  uint32_t units_answered = 0;
  std::vector<Hit> hits;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_PART_H_
