#include "knapweedroad/edge/parts_answer.h"

#include <criterion/criterion.h>

#include <string>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {
namespace {

std::string Record(char filling) {
  constexpr size_t kRecordBytes = 16;
  return std::string(kRecordBytes, filling);
}

// Guards against a caller that is not told how much of the index it lacks.
Test(parts_answer, names_its_parts_and_how_many_are_missing) {
  const RunEnd end{.kind = RunEndKind::kParts,
                   .parts = {{.seal = "one", .body = Record('a') + Record('c')},
                             {.seal = "two", .body = Record('b')}},
                   .missing_parts = 1};
  const CallerAnswer answer = MakePartsAnswer(HeaderNames(), end, 2);
  cr_expect(answer.header ==
            "Knapweed-Part-Seals: one, two\r\nKnapweed-Missing-Parts: 1\r\n");
  cr_expect(answer.body == Record('c') + Record('b'));
}

}  // namespace
}  // namespace knapweedroad
