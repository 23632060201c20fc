#include "knapweedroad/base/log_line.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

Test(LogLine, WritesPairsInTheirOrder) {
  LogLine line("target_left");
  line.Add("target", "redactie-3-1").Add("in_flight", 2);
  cr_assert(line.str() == "event=target_left target=redactie-3-1 in_flight=2");
}

// A caller's text breaks the log: a line break in it makes a second line that
// says whatever the caller likes.
Test(LogLine, NoValueBreaksTheLine) {
  LogLine line("odd");
  line.Add("detail", "two\nlines=\"x\" \x01").Add("empty", "");
  cr_assert(line.str() ==
            "event=odd detail=\"two\\nlines=\\\"x\\\"  \" empty=\"\"");
}

}  // namespace
}  // namespace knapweedroad
