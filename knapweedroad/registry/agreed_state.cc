#include "knapweedroad/registry/agreed_state.h"

#include <algorithm>

#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/packed.h"

namespace knapweedroad {

std::string EncodeAgreedState(const AgreedState& state) {
  return Pack(EncodeBytes(state));
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
  return DecodeBytes<AgreedState>(*unpacked);
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
