#include "knapweedroad/wire/packed.h"

#include <criterion/criterion.h>

#include <random>

namespace knapweedroad {
namespace {

Test(packed, every_text_comes_back_and_long_ones_shrink) {
  std::string text;
  for (int i = 0; i < 200; ++i) {
    cr_assert(Unpack(Pack(text)) == text);
    text += "{\"Name\":\"route-" + std::to_string(i) + "\"},";
  }
  cr_expect(Pack(text).size() * 4 < text.size());
}

// A peer's bytes are damaged or made up: no length in them makes this process
// reserve gigabytes, and nothing ends it.
Test(packed, other_bytes_are_an_error) {
  cr_expect(!Unpack("").has_value());
  cr_expect(!Unpack("x").has_value());
  cr_expect(!Unpack(std::string("z\xff\xff\xff\xff") + "short").has_value());
  std::mt19937 random(3);
  const std::string good = Pack(std::string(5000, 'a'));
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    static_cast<void>(Unpack(bytes));
  }
}

}  // namespace
}  // namespace knapweedroad
