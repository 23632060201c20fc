#include "knapweedroad/testing/linearizability.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using History = std::vector<HistoryOperation>;

HistoryOperation Accepted(const char* id,
                          uint64_t made,
                          int64_t start,
                          int64_t end) {
  return {.kind = HistoryKind::kChange,
          .operator_id = "anna",
          .request_id = id,
          .base_version = made - 1,
          .text = id,
          .start_ns = start,
          .end_ns = end,
          .result = HistoryResult::kAccepted,
          .version = made};
}

HistoryOperation Open(const char* id, uint64_t base, int64_t start) {
  return {.kind = HistoryKind::kChange,
          .operator_id = "anna",
          .request_id = id,
          .base_version = base,
          .text = id,
          .start_ns = start};
}

HistoryOperation Rejected(const char* id,
                          uint64_t base,
                          const char* winner,
                          uint64_t in_force,
                          int64_t start,
                          int64_t end) {
  HistoryOperation operation = Open(id, base, start);
  operation.end_ns = end;
  operation.result = HistoryResult::kRejected;
  operation.version = in_force;
  operation.winner_operator = "anna";
  operation.winner_request = winner;
  return operation;
}

HistoryOperation Read(uint64_t version,
                      const char* text,
                      int64_t start,
                      int64_t end) {
  return {.kind = HistoryKind::kRead,
          .text = text,
          .start_ns = start,
          .end_ns = end,
          .result = HistoryResult::kAccepted,
          .version = version};
}

bool IsLinearizable(const History& history) {
  return CheckLinearizable(history).has_value();
}

Test(Linearizability, PassesWhatOneCopyWouldHaveAnswered) {
  cr_assert(IsLinearizable({}));
  cr_assert(IsLinearizable({Read(0, "", 0, 1), Accepted("a", 1, 2, 5),
                            Read(0, "", 2, 5), Read(1, "a", 3, 4),
                            Rejected("b", 0, "a", 1, 3, 9),
                            Accepted("c", 2, 6, 8), Read(2, "c", 8, 9)}));
}

Test(Linearizability, RefusesTwoWinnersOfOneBase) {
  cr_assert(!IsLinearizable({Accepted("a", 1, 0, 9), Accepted("b", 1, 0, 9)}));
}

Test(Linearizability, RefusesAReadOlderThanWhatWasKnownBeforeItBegan) {
  const auto old_read = Read(0, "", 6, 7);
  cr_assert(!IsLinearizable({Accepted("a", 1, 0, 5), old_read}));
  cr_assert(IsLinearizable({Accepted("a", 1, 0, 6), old_read}));
  cr_assert(!IsLinearizable({Open("a", 0, 0), Read(1, "a", 1, 2), old_read}));
}

Test(Linearizability, RefusesAReadOfWhatHadNotBegun) {
  cr_assert(!IsLinearizable({Read(1, "a", 0, 1), Accepted("a", 1, 2, 3)}));
}

Test(Linearizability, RefusesAVersionThatReverted) {
  cr_assert(!IsLinearizable(
      {Accepted("a", 1, 0, 1), Accepted("b", 2, 2, 3), Read(1, "a", 4, 5)}));
}

Test(Linearizability, RefusesAnotherTextUnderTheSameVersion) {
  cr_assert(!IsLinearizable(
      {Accepted("a", 1, 0, 1), Open("b", 0, 0), Read(1, "b", 4, 5)}));
}

Test(Linearizability, AnOpenChangeMayCountOrNot) {
  cr_assert(IsLinearizable({Open("a", 0, 0), Read(0, "", 5, 6)}));
  cr_assert(IsLinearizable({Open("a", 0, 0), Read(1, "a", 5, 6)}));
  cr_assert(!IsLinearizable({Open("a", 0, 7), Read(1, "a", 5, 6)}));
  cr_assert(IsLinearizable({Open("a", 0, 0), Accepted("b", 2, 5, 6)}));
  cr_assert(!IsLinearizable({Open("a", 1, 0), Accepted("b", 2, 5, 6)}));
}

Test(Linearizability, RefusesAResendWithAnotherAnswer) {
  cr_assert(IsLinearizable({Open("a", 0, 0), Accepted("a", 1, 3, 4),
                            Accepted("a", 1, 7, 8), Accepted("b", 2, 5, 6)}));
  cr_assert(!IsLinearizable({Accepted("a", 1, 0, 1), Accepted("b", 2, 2, 3),
                             Accepted("a", 3, 4, 5)}));
}

Test(Linearizability, RefusesARejectionThatNamesAWrongWinner) {
  cr_assert(!IsLinearizable({Accepted("a", 1, 0, 1), Open("c", 0, 0),
                             Rejected("b", 0, "c", 1, 2, 3)}));
  cr_assert(!IsLinearizable({Rejected("b", 0, "b", 1, 2, 3)}));
}

}  // namespace
}  // namespace knapweedroad
