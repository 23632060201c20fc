#include "knapweedroad/control/apply_change.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

#include "knapweedroad/control/control_value.h"

namespace knapweedroad {
namespace {

uint64_t Fingerprint(const ChangeRequest& request) {
  std::string content = request.edit_name;
  content += '\0';
  if (request.base_version.has_value()) {
    content += std::to_string(*request.base_version);
  }
  content += '\0';
  content += request.configuration;
  return XXH64(content.data(), content.size(), 0);
}

const VersionAuthor* FindAuthor(const ControlValue& value, uint64_t version) {
  for (const VersionAuthor& entry : value.authors) {
    if (entry.version == version) {
      return &entry;
    }
  }
  return nullptr;
}

bool MayHaveForgotten(const ControlValue& value, const ChangeRequest& request) {
  const uint64_t base = *request.base_version;
  if (value.dropped_operator_version.value_or(0) > base) {
    return true;
  }
  for (const OperatorOutcomes& entry : value.outcomes) {
    if (entry.operator_id == request.author.operator_id) {
      return entry.dropped_version.value_or(0) > base;
    }
  }
  return false;
}

ChangeOutcome LoseBase(const ControlValue& value,
                       const ChangeRequest& request) {
  ChangeOutcome outcome{.result = ChangeResult::kRejected,
                        .reason = ChangeReason::kBaseVersion,
                        .version = value.version};
  if (*request.base_version > value.version) {
    outcome.reason = ChangeReason::kFutureBase;
    return outcome;
  }
  const uint64_t contested = *request.base_version + 1;
  const VersionAuthor* author = FindAuthor(value, contested);
  if (author != nullptr && author->author == request.author) {
    return {.result = ChangeResult::kAccepted, .version = contested};
  }
  if (author != nullptr) {
    outcome.winner = author->author;
    return outcome;
  }
  if (MayHaveForgotten(value, request)) {
    outcome.result = ChangeResult::kUnknown;
    outcome.reason = ChangeReason::kStale;
  }
  return outcome;
}

ChangeOutcome MakeVersion(ControlValue& value, const ChangeRequest& request) {
  if (request.edit) {
    auto text = request.edit(value.configuration);
    if (!text.has_value()) {
      return {.result = ChangeResult::kRejected,
              .reason = ChangeReason::kRefused,
              .version = value.version,
              .detail = std::move(text.error())};
    }
    if (request.only_if_changed && *text == value.configuration) {
      return {.result = ChangeResult::kAccepted, .version = value.version};
    }
    value.configuration = *std::move(text);
  } else {
    value.configuration = request.configuration;
  }
  ++value.version;
  value.authors.push_back({value.version, request.author});
  if (value.authors.size() > kMaxVersionAuthors) {
    value.authors.erase(value.authors.begin());
  }
  return {.result = ChangeResult::kAccepted, .version = value.version};
}

}  // namespace

ChangeOutcome ApplyChange(ControlValue& value, const ChangeRequest& request) {
  const uint64_t fingerprint = Fingerprint(request);
  if (const RecordedOutcome* first = value.FindOutcome(request.author)) {
    if (first->fingerprint == fingerprint) {
      return first->outcome;
    }
    return {.result = ChangeResult::kRejected,
            .reason = ChangeReason::kRequestIdReused,
            .version = value.version};
  }
  const bool follows_base =
      request.base_version.value_or(value.version) == value.version;
  ChangeOutcome outcome =
      follows_base ? MakeVersion(value, request) : LoseBase(value, request);
  if (outcome.result != ChangeResult::kUnknown) {
    value.Record(request.author, fingerprint, outcome);
  }
  return outcome;
}

}  // namespace knapweedroad
