#include "knapweedroad/config/duration_text.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

Test(DurationText, ReadsEveryUnit) {
  cr_expect(ParseDuration("7ns") == Duration(7));
  cr_expect(ParseDuration("7us") == Duration(7'000));
  cr_expect(ParseDuration("7ms") == Duration(7'000'000));
  cr_expect(ParseDuration("1.5s") == Duration(1'500'000'000));
}

Test(DurationText, RefusesWhatIsNoNumberWithItsUnit) {
  for (const char* text :
       {"", "s", "7", "7 s", "7m", "7MS", "-7s", "+7s", "1.s", ".5s", "1.5.5s",
        "1,5s", "0x7s", "1e3s", "7s ", "1.0000000001s"}) {
    cr_expect(!ParseDuration(text).has_value(), "%s", text);
  }
}

Test(DurationText, RefusesPartsOfANanosecond) {
  cr_expect(!ParseDuration("1.5ns").has_value());
  cr_expect(ParseDuration("1.5us") == Duration(1'500));
}

Test(DurationText, RefusesWhatWouldOverflow) {
  cr_expect(ParseDuration("1000000000s").has_value());
  cr_expect(!ParseDuration("1000000001s").has_value());
  cr_expect(!ParseDuration("99999999999999999999s").has_value());
}

Test(DurationText, PrintsTheLargestWholeUnit) {
  cr_expect(PrintDuration(Duration(1'500'000'000)) == "1500ms");
  cr_expect(PrintDuration(Duration(2'000'000'000)) == "2s");
  cr_expect(PrintDuration(Duration(1'001)) == "1001ns");
}

}  // namespace
}  // namespace knapweedroad
