// What an operator asks of control, and what becomes of it.
//
//   ChangeRequest request{.author = {OperatorId("anna"), RequestId("r-4")},
//                         .base_version = 7,
//                         .configuration = text};

#ifndef KNAPWEEDROAD_CONTROL_CHANGE_REQUEST_H_
#define KNAPWEEDROAD_CONTROL_CHANGE_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

using OperatorId = Id<struct OperatorTag>;
using RequestId = Id<struct RequestTag>;

// Who asked, under which of his own numbers. A resend has the same pair.
struct ChangeAuthor {
  OperatorId operator_id;
  RequestId request_id;

  friend auto operator<=>(const ChangeAuthor&, const ChangeAuthor&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->operator_id, this->request_id);
  }
};

// Makes the new configuration text from the one in force, or says why not.
// Runs once an attempt, on the value that the change will follow.
using ConfigurationEdit = std::function<tl::expected<std::string, std::string>(
    std::string_view configuration)>;

struct ChangeRequest {
  ChangeAuthor author;
  // The version the change was made from; it loses if that is no longer the
  // one in force. Without one it applies to whatever is in force.
  std::optional<uint64_t> base_version;
  // The whole new text; unused with `edit`.
  std::string configuration;
  // For a change of a part, such as taking a zone out.
  ConfigurationEdit edit;
  // What `edit` does, in words ("zone leuven out"): tells a resend from
  // another change under a used request id.
  std::string edit_name;
  // An edit that leaves the text as it is makes no version.
  bool only_if_changed = false;
};

enum class ChangeResult : uint8_t {
  kAccepted,
  kRejected,
  // It may or may not be in force; a resend of the same request settles it.
  kUnknown,
};

enum class ChangeReason : uint8_t {
  kNone,
  kBaseVersion,      // another change has followed the base version
  kFutureBase,       // the base version doesn't exist yet
  kRequestIdReused,  // the id was used for another change; nothing was run
  kRefused,          // `detail` says why
  kNoQuorum,         // not enough replicas answered before the deadline
  // Its first answer is no longer kept; it was not run again.
  kStale,
};

struct ChangeOutcome {
  ChangeResult result = ChangeResult::kUnknown;
  ChangeReason reason = ChangeReason::kNone;
  // The version it made, or the one in force when it was rejected.
  uint64_t version = 0;
  // With kBaseVersion: who made the version after the base; both names are
  // empty where that is too long ago.
  ChangeAuthor winner;
  std::string detail;

  friend bool operator==(const ChangeOutcome&, const ChangeOutcome&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->result, this->reason, this->version, this->winner,
            this->detail);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_CHANGE_REQUEST_H_
