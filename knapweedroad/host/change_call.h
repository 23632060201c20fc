// What a host asks a control replica to do for an operator.
//
// It lies here and not among the other messages of wire/ because it is made of
// control's own types.

#ifndef KNAPWEEDROAD_HOST_CHANGE_CALL_H_
#define KNAPWEEDROAD_HOST_CHANGE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "knapweedroad/control/change_request.h"

namespace knapweedroad {

struct WholeConfiguration {
  // As PrintDeployment() writes it.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->text);
  }
};

struct ZoneSwitch {
  ZoneId zone;
  bool out = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->zone, this->out);
  }
};

struct ChangeCall {
  ChangeAuthor author;
  std::optional<uint64_t> base_version;
  std::variant<WholeConfiguration, ZoneSwitch> change;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->author, this->base_version, this->change);
  }
};

// Asks for the configuration in force, read through a quorum.
struct ReadCall {
  template <typename Archive>
  void serialize(Archive&) {}
};

struct OperatorCall {
  std::variant<ReadCall, ChangeCall> work;
  // For how long the replica may try. Shorter than the caller waits, so that
  // even an "unknown" arrives.
  uint64_t remaining_ns = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->work, this->remaining_ns);
  }
};

// The version that a quorum holds; zero and no text before the first change.
struct AgreedConfiguration {
  uint64_t version = 0;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->text);
  }
};

// The host asked is no control replica; it did nothing.
struct NotReplica {
  template <typename Archive>
  void serialize(Archive&) {}
};

// The replica reached no quorum for the read.
struct NoQuorum {
  template <typename Archive>
  void serialize(Archive&) {}
};

using OperatorReply =
    std::variant<NotReplica, NoQuorum, AgreedConfiguration, ChangeOutcome>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CHANGE_CALL_H_
