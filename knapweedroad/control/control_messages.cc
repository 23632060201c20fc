#include "knapweedroad/control/control_messages.h"

#include "knapweedroad/wire/codec.h"

namespace knapweedroad {

std::string EncodeControlMessage(const ControlMessage& message) {
  return EncodeCompact(message);
}

tl::expected<ControlMessage, std::string> DecodeControlMessage(
    std::string_view bytes) {
  return DecodeCompact<ControlMessage>(bytes);
}

}  // namespace knapweedroad
