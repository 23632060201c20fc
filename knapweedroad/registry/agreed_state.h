// The state that control hosts replicate for hosts that route by numbered
// configurations: the newest configuration, the zones taken out of service, and
// the rollouts of new versions, and the host that grants quotas.
//
//   auto state = DecodeAgreedState(control_value.configuration);
//   PutIfNewer(*state, 9, text);

#ifndef KNAPWEEDROAD_REGISTRY_AGREED_STATE_H_
#define KNAPWEEDROAD_REGISTRY_AGREED_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/quota/quota_leader_record.h"
#include "knapweedroad/rollout/rollout_record.h"

namespace knapweedroad {

struct AgreedState {
  // The number that operators gave to `text`. Zero if no configuration was
  // submitted yet.
  uint64_t number = 0;
  // The routing configuration, byte for byte as submitted.
  std::string text;
  // Sorted. Targets of these zones receive no requests.
  std::vector<ZoneId> zones_out;
  // The newest rollout of each service, sorted by service.
  std::vector<RolloutRecord> rollouts;
  // The control host that grants quotas; empty if none was chosen yet.
  QuotaLeaderRecord quota_leader;

  friend bool operator==(const AgreedState&, const AgreedState&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->text, this->zones_out, this->rollouts,
            this->quota_leader);
  }
};

std::string EncodeAgreedState(const AgreedState& state);

// Returns the initial state if `bytes` is empty. Returns an error message if
// `bytes` is not an encoded state.
tl::expected<AgreedState, std::string> DecodeAgreedState(
    std::string_view bytes);

// Stores `text` if `number` is higher than the stored number; otherwise changes
// nothing, so that a retransmission is harmless.
void PutIfNewer(AgreedState& state, uint64_t number, std::string_view text);

// Takes the zone out of service, or returns it to service. A repeated call
// changes nothing.
void SetZoneOut(AgreedState& state, const ZoneId& zone, bool is_out);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_AGREED_STATE_H_
