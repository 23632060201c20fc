#include "knapweedroad/config/duration_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>

namespace knapweedroad {
namespace {

struct Unit {
  std::string_view name;
  int64_t nanoseconds;
};

// Largest first.
constexpr std::array<Unit, 4> kUnits = {{
    {"s", 1'000'000'000},
    {"ms", 1'000'000},
    {"us", 1'000},
    {"ns", 1},
}};

constexpr size_t kMaxDigits = 18;
constexpr size_t kMaxFractionDigits = 9;
// About 31 years; keeps every step inside 64 bits.
constexpr int64_t kMaxNanoseconds = 1'000'000'000'000'000'000;

// Takes the digits at the front of `text` away; they may be none.
std::string_view TakeDigits(std::string_view& text) {
  const auto end = std::find_if(text.begin(), text.end(), [](unsigned char c) {
    return std::isdigit(c) == 0;
  });
  const size_t count = static_cast<size_t>(end - text.begin());
  const std::string_view digits = text.substr(0, count);
  text.remove_prefix(count);
  return digits;
}

int64_t ToNumber(std::string_view digits) {
  int64_t number = 0;
  for (const char c : digits) {
    number = number * 10 + (c - '0');
  }
  return number;
}

bool IsNumber(std::string_view digits, size_t max_digits) {
  return !digits.empty() && digits.size() <= max_digits;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const std::string_view whole = TakeDigits(text);
  std::string_view fraction = "0";
  if (text.starts_with('.')) {
    text.remove_prefix(1);
    fraction = TakeDigits(text);
  }
  const auto* unit =
      std::find_if(kUnits.begin(), kUnits.end(),
                   [text](const Unit& known) { return known.name == text; });
  if (!IsNumber(whole, kMaxDigits) || !IsNumber(fraction, kMaxFractionDigits) ||
      unit == kUnits.end() ||
      ToNumber(whole) > kMaxNanoseconds / unit->nanoseconds) {
    return std::nullopt;
  }
  int64_t scale = 1;
  for (size_t i = 0; i < fraction.size(); ++i) {
    scale *= 10;
  }
  const int64_t scaled_rest = ToNumber(fraction) * unit->nanoseconds;
  if (scaled_rest % scale != 0) {
    return std::nullopt;
  }
  return Duration(ToNumber(whole) * unit->nanoseconds + scaled_rest / scale);
}

std::string PrintDuration(Duration duration) {
  const auto* unit = std::find_if(
      kUnits.begin(), kUnits.end(), [duration](const Unit& candidate) {
        return duration.count() % candidate.nanoseconds == 0;
      });
  return std::to_string(duration.count() / unit->nanoseconds) +
         std::string(unit->name);
}

}  // namespace knapweedroad
