#include "knapweedroad/edge/reply_cache.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// A target that stays cold for so much less than its record says gets its first
// requests so much later.
constexpr Duration kKeepFor = std::chrono::milliseconds(50);
// Whole lists of thousands of targets take a megabyte each.
constexpr size_t kMostKept = 4;

}  // namespace

std::string ReplyCache::Get(const ReplyKey& key,
                            TimePoint now,
                            const std::function<std::string()>& make) {
  std::erase_if(this->kept, [now](const Kept& reply) {
    return now - reply.made > kKeepFor;
  });
  const auto found = std::ranges::find(this->kept, key, &Kept::key);
  if (found != this->kept.end()) {
    return found->bytes;
  }
  if (this->kept.size() == kMostKept) {
    this->kept.erase(this->kept.begin());
  }
  this->kept.push_back({.key = key, .made = now, .bytes = make()});
  return this->kept.back().bytes;
}

}  // namespace knapweedroad
