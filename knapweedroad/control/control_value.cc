#include "knapweedroad/control/control_value.h"

#include <algorithm>

namespace knapweedroad {
namespace {

template <typename Outcomes>
auto FindOperator(Outcomes& outcomes, const OperatorId& operator_id) {
  return std::find_if(outcomes.begin(), outcomes.end(),
                      [&](const OperatorOutcomes& entry) {
                        return entry.operator_id == operator_id;
                      });
}

void DropLeastRecentOperator(ControlValue& value) {
  const auto oldest = std::min_element(
      value.outcomes.begin(), value.outcomes.end(),
      [](const OperatorOutcomes& left, const OperatorOutcomes& right) {
        return left.last_revision < right.last_revision;
      });
  value.outcomes.erase(oldest);
  value.dropped_operator_version = value.version;
}

}  // namespace

const RecordedOutcome* ControlValue::FindOutcome(
    const ChangeAuthor& author) const {
  const auto entry = FindOperator(this->outcomes, author.operator_id);
  if (entry == this->outcomes.end()) {
    return nullptr;
  }
  for (const RecordedOutcome& recorded : entry->recent) {
    if (recorded.request_id == author.request_id) {
      return &recorded;
    }
  }
  return nullptr;
}

void ControlValue::Record(const ChangeAuthor& author,
                          uint64_t fingerprint,
                          const ChangeOutcome& outcome) {
  auto entry = FindOperator(this->outcomes, author.operator_id);
  if (entry == this->outcomes.end()) {
    if (this->outcomes.size() >= kMaxOperators) {
      DropLeastRecentOperator(*this);
    }
    this->outcomes.push_back({.operator_id = author.operator_id});
    entry = this->outcomes.end() - 1;
  }
  entry->recent.push_back({author.request_id, fingerprint, outcome});
  if (entry->recent.size() > kMaxOutcomesPerOperator) {
    entry->recent.erase(entry->recent.begin());
    entry->dropped_version = this->version;
  }
  ++this->revision;
  entry->last_revision = this->revision;
}

}  // namespace knapweedroad
