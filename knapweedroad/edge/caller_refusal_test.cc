#include "knapweedroad/edge/caller_refusal.h"

#include <criterion/criterion.h>

#include "knapweedroad/edge/caller_message.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(caller_refusal, it_says_when_to_come_back) {
  const CallerAnswer answer = MakeRefusal(503, milliseconds(1025));
  cr_expect(answer.status == 503);
  cr_expect(answer.header == "Retry-After: 1.025\r\n");
}

Test(caller_refusal, one_that_does_not_know_says_nothing) {
  cr_expect(MakeRefusal(502, std::nullopt).header.empty());
}

Test(caller_refusal, one_for_want_of_a_key_names_the_scheme) {
  cr_expect(MakeRefusal(401, std::nullopt).header ==
            "WWW-Authenticate: Bearer\r\n");
}

}  // namespace
}  // namespace knapweedroad
