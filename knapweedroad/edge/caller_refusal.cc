#include "knapweedroad/edge/caller_refusal.h"

#include <string>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_text.h"

namespace knapweedroad {
namespace {

// Seconds with three decimals.
std::string SecondsText(Duration duration) {
  constexpr int64_t kMsInSecond = 1000;
  constexpr size_t kDecimals = 3;
  const int64_t ms =
      std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  std::string fraction = std::to_string(ms % kMsInSecond);
  fraction.insert(0, kDecimals - fraction.size(), '0');
  return std::to_string(ms / kMsInSecond) + "." + fraction;
}

}  // namespace

CallerAnswer MakeRefusal(int status, std::optional<Duration> retry_after) {
  constexpr int kUnauthorized = 401;
  CallerAnswer answer{.status = status};
  if (status == kUnauthorized) {
    AppendLine(answer.header, "WWW-Authenticate", "Bearer");
  }
  if (retry_after) {
    AppendLine(answer.header, "Retry-After", SecondsText(*retry_after));
  }
  return answer;
}

}  // namespace knapweedroad
