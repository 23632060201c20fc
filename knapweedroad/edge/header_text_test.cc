#include "knapweedroad/edge/header_text.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

Test(header_text, names_are_compared_without_case) {
  cr_expect(IsSameName("Request-Number", "request-NUMBER"));
  cr_expect(!IsSameName("Request-Number", "Request-Numbers"));
}

Test(header_text, what_concerns_one_connection_is_not_passed_on) {
  cr_expect(IsHopByHop("keep-alive", ""));
  cr_expect(IsHopByHop("X-Own", "close, x-own"));
  cr_expect(!IsHopByHop("X-Own", "close"));
}

Test(header_text, numbers_are_whole_or_nothing) {
  cr_expect(ParseCount(" 42 ") == 42);
  cr_expect(!ParseCount("42x") && !ParseCount("") && !ParseCount("-1"));
  cr_expect(KeepAliveSeconds("max=9, timeout=15") == 15);
  cr_expect(!KeepAliveSeconds("max=9"));
}

}  // namespace
}  // namespace knapweedroad
