#include "knapweedroad/control/acceptor_record.h"

#include "knapweedroad/control/control_codec.h"

namespace knapweedroad {

std::string EncodeAcceptorRecord(const AcceptorRecord& record) {
  return internal::EncodeBytes(record);
}

tl::expected<AcceptorRecord, std::string> DecodeAcceptorRecord(
    std::string_view bytes) {
  return internal::DecodeBytes<AcceptorRecord>(bytes);
}

}  // namespace knapweedroad
