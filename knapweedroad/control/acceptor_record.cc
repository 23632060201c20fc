#include "knapweedroad/control/acceptor_record.h"

#include "knapweedroad/wire/codec.h"

namespace knapweedroad {

std::string EncodeAcceptorRecord(const AcceptorRecord& record) {
  return EncodeBytes(record);
}

tl::expected<AcceptorRecord, std::string> DecodeAcceptorRecord(
    std::string_view bytes) {
  return DecodeBytes<AcceptorRecord>(bytes);
}

}  // namespace knapweedroad
