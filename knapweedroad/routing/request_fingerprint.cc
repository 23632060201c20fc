#include "knapweedroad/routing/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <xxhash.h>

namespace knapweedroad {

RequestFingerprint MakeRequestFingerprint(const RequestContent& content) {
  XXH64_hash_t hash = 0;
  for (const std::string_view part :
       {content.method, content.host, content.path, content.body}) {
    // The length separates the parts.
    const uint64_t length = part.size();
    hash = XXH64(&length, sizeof(length), hash);
    hash = XXH64(part.data(), part.size(), hash);
  }
  return RequestFingerprint{std::max<uint64_t>(hash, 1)};
}

std::string ToString(RequestFingerprint fingerprint) {
  constexpr size_t kDigits = 16;
  constexpr int kBase = 16;
  std::array<char, kDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 static_cast<uint64_t>(fingerprint), kBase)
                       .ptr;
  const auto length = static_cast<size_t>(end - digits.data());
  return std::string(kDigits - length, '0') +
         std::string(digits.data(), length);
}

}  // namespace knapweedroad
