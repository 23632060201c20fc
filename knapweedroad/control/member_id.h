// Who decides: a control replica, told apart from an earlier one of its name.
//
//   MemberId member{.host = HostId("leuven-1"), .incarnation = 0x9f3a...};

#ifndef KNAPWEEDROAD_CONTROL_MEMBER_ID_H_
#define KNAPWEEDROAD_CONTROL_MEMBER_ID_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// A host's name and a random number made with its data folder.
//
// Guards against a lost disk: a host that comes back under its old name
// without its old state has forgotten what it promised, and two values could
// be chosen through it. Its new folder has a new incarnation, so nothing that
// is meant for the old member is answered by the new one.
struct MemberId {
  HostId host;
  // Zero: not known yet. Only a query may be sent so.
  uint64_t incarnation = 0;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->incarnation);
  }
};

inline std::ostream& operator<<(std::ostream& out, const MemberId& member) {
  return out << member.host << '#' << std::hex << member.incarnation
             << std::dec;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBER_ID_H_
