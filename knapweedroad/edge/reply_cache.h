// Replies to followers, kept for the others that want the same one.
//
//   ReplyCache replies;
//   std::string bytes = replies.Get(key, now, [&] { return Encode(...); });
//
// Answers the pattern of hundreds of hosts that start together, or hear of one
// change together: each reply is made once, not once a follower.

#ifndef KNAPWEEDROAD_EDGE_REPLY_CACHE_H_
#define KNAPWEEDROAD_EDGE_REPLY_CACHE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

// All that the bytes of a reply depend on, but for the time.
struct ReplyKey {
  struct Revisions {
    uint64_t targets = 0;
    uint64_t hosts = 0;
    uint64_t outliers = 0;

    friend bool operator==(const Revisions&, const Revisions&) = default;
  };

  FollowerRole role = FollowerRole::kEntry;
  bool shares_outcomes = false;
  bool is_cut_off = false;
  bool hears_all = false;
  bool has_quorum = false;
  // What the follower has, and what it gets.
  Revisions from;
  Revisions to;
  uint64_t agreed_version = 0;

  friend bool operator==(const ReplyKey&, const ReplyKey&) = default;
};

class ReplyCache {
 public:
  std::string Get(const ReplyKey& key,
                  TimePoint now,
                  const std::function<std::string()>& make);

 private:
  struct Kept {
    ReplyKey key;
    TimePoint made;
    std::string bytes;
  };

  // Oldest first.
  std::vector<Kept> kept;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REPLY_CACHE_H_
