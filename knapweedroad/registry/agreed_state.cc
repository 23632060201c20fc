#include "knapweedroad/registry/agreed_state.h"

#include <algorithm>

#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/packed.h"

namespace knapweedroad {
namespace {

// The encoded layout that predates rollouts.
struct StateWithoutRollouts {
  uint64_t number = 0;
  std::string text;
  std::vector<ZoneId> zones_out;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->text, this->zones_out);
  }
};

// The encoded layout that predates quotas.
struct StateWithoutQuotas {
  uint64_t number = 0;
  std::string text;
  std::vector<ZoneId> zones_out;
  std::vector<RolloutRecord> rollouts;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->text, this->zones_out, this->rollouts);
  }
};

}  // namespace

// A state is encoded in the oldest layout that holds it, so that control hosts
// of different versions can read each other's values during an upgrade until
// the first rollout or the first choice of a quota leader.
std::string EncodeAgreedState(const AgreedState& state) {
  if (!state.quota_leader.host.empty()) {
    return Pack(EncodeBytes(state));
  }
  if (!state.rollouts.empty()) {
    return Pack(EncodeBytes(StateWithoutQuotas{.number = state.number,
                                               .text = state.text,
                                               .zones_out = state.zones_out,
                                               .rollouts = state.rollouts}));
  }
  return Pack(EncodeBytes(StateWithoutRollouts{.number = state.number,
                                               .text = state.text,
                                               .zones_out = state.zones_out}));
}

tl::expected<AgreedState, std::string> DecodeAgreedState(
    std::string_view bytes) {
  if (bytes.empty()) {
    return AgreedState();
  }
  const auto unpacked = Unpack(bytes);
  if (!unpacked) {
    return tl::unexpected(unpacked.error());
  }
  if (auto state = DecodeBytes<AgreedState>(*unpacked)) {
    return *std::move(state);
  }
  if (auto older = DecodeBytes<StateWithoutQuotas>(*unpacked)) {
    return AgreedState{.number = older->number,
                       .text = std::move(older->text),
                       .zones_out = std::move(older->zones_out),
                       .rollouts = std::move(older->rollouts)};
  }
  auto older = DecodeBytes<StateWithoutRollouts>(*unpacked);
  if (!older) {
    return tl::unexpected(older.error());
  }
  return AgreedState{.number = older->number,
                     .text = std::move(older->text),
                     .zones_out = std::move(older->zones_out)};
}

void PutIfNewer(AgreedState& state, uint64_t number, std::string_view text) {
  if (number > state.number) {
    state.number = number;
    state.text = text;
  }
}

void SetZoneOut(AgreedState& state, const ZoneId& zone, bool is_out) {
  const auto place = std::ranges::lower_bound(state.zones_out, zone);
  const bool was_out = place != state.zones_out.end() && *place == zone;
  if (is_out && !was_out) {
    state.zones_out.insert(place, zone);
  } else if (!is_out && was_out) {
    state.zones_out.erase(place);
  }
}

}  // namespace knapweedroad
