// The messages between a host that decides something and the replicas.
//
//   std::string bytes = EncodeControlMessage(PrepareRequest{...});
//   auto message = DecodeControlMessage(bytes);

#ifndef KNAPWEEDROAD_CONTROL_CONTROL_MESSAGES_H_
#define KNAPWEEDROAD_CONTROL_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/control/ballot.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

// Asks what a replica has accepted. Promises nothing and costs no sync.
struct QueryRequest {
  // Incarnation zero: whatever replica the host runs now.
  MemberId to;
  // The value of this ballot needn't be sent back: the sender holds it.
  Ballot held;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->to, this->held);
  }
};

// Asks for a promise to take no lower ballot.
struct PrepareRequest {
  MemberId to;
  Ballot ballot;
  // The value of this ballot needn't be sent back: the sender holds it.
  Ballot held;
  // The sender means to form the first membership out of blank replicas.
  bool forming = false;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->to, this->ballot, this->held, this->forming);
  }
};

enum class ReplyStatus : uint8_t {
  kDone,          // promised, accepted, or the query answered
  kLowerBallot,   // a higher ballot has been promised: see `promised`
  kWrongMember,   // another incarnation runs here: nothing was done
  kAlreadyFormed  // a membership is known: forming one is refused
};

// Answers a query or a prepare.
struct PrepareReply {
  MemberId from;
  // Of the request; none for a query.
  Ballot ballot;
  ReplyStatus status = ReplyStatus::kDone;
  Ballot promised;
  // The ballot of the value accepted last; none: a blank replica.
  Ballot accepted;
  // Absent if blank, held by the asker, or if the status isn't kDone.
  std::optional<ControlValue> value;
  // Members that the replica's host has heard of; absent where the asker holds
  // them with the value.
  std::vector<MemberId> known_members;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->ballot, this->status, this->promised,
            this->accepted, this->value, this->known_members);
  }
};

struct AcceptRequest {
  MemberId to;
  Ballot ballot;
  ControlValue value;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->to, this->ballot, this->value);
  }
};

struct AcceptReply {
  MemberId from;
  Ballot ballot;
  ReplyStatus status = ReplyStatus::kDone;
  Ballot promised;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->ballot, this->status, this->promised);
  }
};

using ControlMessage = std::variant<QueryRequest,
                                    PrepareRequest,
                                    PrepareReply,
                                    AcceptRequest,
                                    AcceptReply>;

std::string EncodeControlMessage(const ControlMessage& message);

// The error says that the bytes are no message; nothing else is read from
// them.
tl::expected<ControlMessage, std::string> DecodeControlMessage(
    std::string_view bytes);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_CONTROL_MESSAGES_H_
