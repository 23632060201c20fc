#include "knapweedroad/control/apply_change.h"

#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/control/control_value.h"

namespace knapweedroad {
namespace {

ChangeAuthor Author(const char* operator_id, const std::string& request_id) {
  return {OperatorId(operator_id), RequestId(request_id)};
}

ChangeRequest Request(const char* operator_id,
                      const std::string& request_id,
                      uint64_t base,
                      const std::string& text) {
  return {.author = Author(operator_id, request_id),
          .base_version = base,
          .configuration = text};
}

// Two operators read version 0 and both send a change of it. Both are told
// "accepted", and the second has silently undone the first. Cause: the base
// version wasn't compared with the one in force.
Test(ApplyChange, OfTwoRacingOneWinsAndTheOtherIsToldWho) {
  ControlValue value;
  const auto first = ApplyChange(value, Request("anna", "r-1", 0, "A"));
  const auto second = ApplyChange(value, Request("bo", "q-1", 0, "B"));
  cr_assert(first.result == ChangeResult::kAccepted && first.version == 1);
  cr_assert(second.result == ChangeResult::kRejected);
  cr_assert(second.winner == Author("anna", "r-1"));
  cr_assert_str_eq(value.configuration.c_str(), "A");
}

// An operator's change is accepted, the answer is lost, others change on, and
// the operator sends it again. It is run a second time and undoes the others,
// or it is told that it lost. Cause: its outcome wasn't kept.
Test(ApplyChange, AResendGetsItsFirstAnswerAndChangesNothing) {
  ControlValue value;
  const auto first = ApplyChange(value, Request("anna", "r-1", 0, "A"));
  ApplyChange(value, Request("bo", "q-1", 1, "B"));
  const ControlValue before = value;
  const auto again = ApplyChange(value, Request("anna", "r-1", 0, "A"));
  cr_assert(again == first);
  cr_assert(value == before);
}

Test(ApplyChange, ARejectionIsAnsweredAgainToo) {
  ControlValue value;
  ApplyChange(value, Request("anna", "r-1", 0, "A"));
  const auto first = ApplyChange(value, Request("bo", "q-1", 7, "B"));
  cr_assert(first.reason == ChangeReason::kFutureBase);
  for (uint64_t base = 1; base < 7; ++base) {
    ApplyChange(value, Request("anna", "n" + std::to_string(base), base, "N"));
  }
  cr_assert(ApplyChange(value, Request("bo", "q-1", 7, "B")) == first);
}

Test(ApplyChange, AnIdUsedForAnotherChangeIsRefused) {
  ControlValue value;
  ApplyChange(value, Request("anna", "r-1", 0, "A"));
  const auto reused = ApplyChange(value, Request("anna", "r-1", 1, "C"));
  cr_assert(reused.reason == ChangeReason::kRequestIdReused);
  cr_assert(value.version == 1);
}

// Long after, a resend arrives whose outcome is no longer kept. It must not
// run again, and it must not be told that it was rejected, since it wasn't.
Test(ApplyChange, AForgottenRequestNeverRunsAgainAndIsNotCalledRejected) {
  ControlValue value;
  ApplyChange(value, Request("anna", "r-0", 0, "A"));
  for (uint64_t base = 1; base <= kMaxVersionAuthors + 1; ++base) {
    const std::string id = "r-" + std::to_string(base);
    ApplyChange(value, Request("anna", id, base, "next"));
  }
  const ControlValue before = value;
  const auto again = ApplyChange(value, Request("anna", "r-0", 0, "A"));
  cr_assert(again.result == ChangeResult::kUnknown);
  cr_assert(again.reason == ChangeReason::kStale);
  cr_assert(value == before);
}

Test(ApplyChange, AWinnerIsRememberedBeyondItsOperatorsOutcomes) {
  ControlValue value;
  ApplyChange(value, Request("anna", "r-0", 0, "A"));
  for (uint64_t base = 1; base <= kMaxOutcomesPerOperator; ++base) {
    const std::string id = "r-" + std::to_string(base);
    ApplyChange(value, Request("anna", id, base, "next"));
  }
  cr_assert(value.FindOutcome(Author("anna", "r-0")) == nullptr);
  const auto again = ApplyChange(value, Request("anna", "r-0", 0, "A"));
  cr_assert(again.result == ChangeResult::kAccepted && again.version == 1);
}

Test(ApplyChange, AnEditFollowsWhateverIsInForce) {
  ControlValue value;
  ApplyChange(value, Request("anna", "r-1", 0, "zones:"));
  ChangeRequest request{.author = Author("bo", "q-1"), .edit_name = "zone out"};
  request.edit = [](std::string_view text) {
    return tl::expected<std::string, std::string>(std::string(text) + " out");
  };
  const auto first = ApplyChange(value, request);
  cr_assert(first.version == 2);
  cr_assert_str_eq(value.configuration.c_str(), "zones: out");
  cr_assert(ApplyChange(value, request) == first);
  cr_assert(value.version == 2);
}

Test(ApplyChange, WhatIsRememberedIsBounded) {
  ControlValue value;
  for (size_t change = 0; change < 4 * kMaxOperators; ++change) {
    const std::string name = "operator-" + std::to_string(change);
    ApplyChange(value, Request(name.c_str(), "r", change, "N"));
  }
  cr_assert(value.outcomes.size() == kMaxOperators);
  cr_assert(value.authors.size() == kMaxVersionAuthors);
}

}  // namespace
}  // namespace knapweedroad
