// The one value that the control replicas agree on.
//
//   ControlValue value;                       // before the first change
//   ChangeOutcome outcome = ApplyChange(value, request);

#ifndef KNAPWEEDROAD_CONTROL_CONTROL_VALUE_H_
#define KNAPWEEDROAD_CONTROL_CONTROL_VALUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/control/change_request.h"
#include "knapweedroad/control/membership.h"

namespace knapweedroad {

// Bounds on what is remembered of past changes. With all of them full, names
// of 16 characters and no details, about 130 KB.
inline constexpr size_t kMaxOutcomesPerOperator = 32;
inline constexpr size_t kMaxOperators = 32;
inline constexpr size_t kMaxVersionAuthors = 64;

struct RecordedOutcome {
  RequestId request_id;
  // Of the request's content: see ChangeReason::kRequestIdReused.
  uint64_t fingerprint = 0;
  ChangeOutcome outcome;

  friend bool operator==(const RecordedOutcome&,
                         const RecordedOutcome&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->request_id, this->fingerprint, this->outcome);
  }
};

// The last outcomes of one operator, oldest first.
struct OperatorOutcomes {
  OperatorId operator_id;
  uint64_t last_revision = 0;
  // Some outcome decided at this version or before has been dropped.
  std::optional<uint64_t> dropped_version;
  std::vector<RecordedOutcome> recent;

  friend bool operator==(const OperatorOutcomes&,
                         const OperatorOutcomes&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->operator_id, this->last_revision, this->dropped_version,
            this->recent);
  }
};

struct VersionAuthor {
  uint64_t version = 0;
  ChangeAuthor author;

  friend bool operator==(const VersionAuthor&, const VersionAuthor&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->author);
  }
};

struct ControlValue {
  // Of the configuration; rises by one with each accepted change of it.
  uint64_t version = 0;
  // Rises with every change of the value: outcomes and members too.
  uint64_t revision = 0;
  std::string configuration;
  Membership members;
  std::vector<OperatorOutcomes> outcomes;
  // Who made the last versions, oldest first.
  std::vector<VersionAuthor> authors;
  // An operator's whole table was dropped at this version.
  std::optional<uint64_t> dropped_operator_version;

  friend bool operator==(const ControlValue&, const ControlValue&) = default;

  // The outcome kept for that request, if any.
  const RecordedOutcome* FindOutcome(const ChangeAuthor& author) const;

  // Keeps the outcome and drops the oldest over the bounds.
  void Record(const ChangeAuthor& author,
              uint64_t fingerprint,
              const ChangeOutcome& outcome);

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->revision, this->configuration, this->members,
            this->outcomes, this->authors, this->dropped_operator_version);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_CONTROL_VALUE_H_
