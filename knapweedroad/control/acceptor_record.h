// What a control replica writes to its disk.
//
//   store.Append(EncodeAcceptorRecord(record));

#ifndef KNAPWEEDROAD_CONTROL_ACCEPTOR_RECORD_H_
#define KNAPWEEDROAD_CONTROL_ACCEPTOR_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/control/ballot.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

// A step of one replica: a promise, or with a value an acceptance.
struct AcceptorRecord {
  MemberId self;
  Ballot promised;
  Ballot accepted;
  // Absent in a promise: the value before it stays.
  std::optional<ControlValue> value;

  friend bool operator==(const AcceptorRecord&,
                         const AcceptorRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->self, this->promised, this->accepted, this->value);
  }
};

std::string EncodeAcceptorRecord(const AcceptorRecord& record);

tl::expected<AcceptorRecord, std::string> DecodeAcceptorRecord(
    std::string_view bytes);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_ACCEPTOR_RECORD_H_
