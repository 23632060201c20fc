#include "knapweedroad/control/control_messages.h"

#include "knapweedroad/control/control_codec.h"

namespace knapweedroad {

std::string EncodeControlMessage(const ControlMessage& message) {
  return internal::EncodeBytes(message);
}

tl::expected<ControlMessage, std::string> DecodeControlMessage(
    std::string_view bytes) {
  return internal::DecodeBytes<ControlMessage>(bytes);
}

}  // namespace knapweedroad
