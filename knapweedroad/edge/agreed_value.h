// The newest agreed value that a control host knows to be chosen.

#ifndef KNAPWEEDROAD_EDGE_AGREED_VALUE_H_
#define KNAPWEEDROAD_EDGE_AGREED_VALUE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/quota/quota_leader_record.h"
#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/rollout/rollout_record.h"

namespace knapweedroad {

class AgreedValue {
 public:
  // A quorum holds this. False: it is not newer, or it can't be read, and
  // nothing has changed.
  bool Take(uint64_t chosen_version, const std::string& chosen_text);

  // Zero: none is known.
  uint64_t version() const { return this->newest_version; }
  // As EncodeAgreedState() made it.
  const std::string& text() const { return this->newest_text; }
  // Of the routing configuration in it.
  uint64_t number() const { return this->newest.number; }
  const std::vector<RolloutRecord>& rollouts() const {
    return this->newest.rollouts;
  }
  const QuotaLeaderRecord& quota_leader() const {
    return this->newest.quota_leader;
  }
  const AgreedState& state() const { return this->newest; }

 private:
  uint64_t newest_version = 0;
  std::string newest_text;
  AgreedState newest;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_AGREED_VALUE_H_
