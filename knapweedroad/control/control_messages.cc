#include "knapweedroad/control/control_messages.h"

#include "knapweedroad/wire/codec.h"

namespace knapweedroad {

std::string EncodeControlMessage(const ControlMessage& message) {
  return EncodeBytes(message);
}

tl::expected<ControlMessage, std::string> DecodeControlMessage(
    std::string_view bytes) {
  return DecodeBytes<ControlMessage>(bytes);
}

}  // namespace knapweedroad
