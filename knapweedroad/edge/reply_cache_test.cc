#include "knapweedroad/edge/reply_cache.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{1000s};

// Guards against a control host that is busy for a second with one list of all
// targets a follower, after all hosts have lost their power.
Test(reply_cache, hosts_that_start_together_share_one_reply) {
  ReplyCache replies;
  int made = 0;
  const ReplyKey first{.to = {.targets = 500, .hosts = 9, .outliers = 1},
                       .agreed_version = 16};
  for (int host = 0; host < 97; ++host) {
    const TimePoint now = kStart + host * 100us;
    const std::string bytes = replies.Get(first, now, [&] {
      ++made;
      return std::string("all targets");
    });
    cr_expect(bytes == "all targets");
  }
  cr_expect(made == 1);
}

// Guards against a follower that gets what another one lacks.
Test(reply_cache, followers_that_have_different_news_get_different_replies) {
  ReplyCache replies;
  ReplyKey key{.from = {.targets = 7}, .to = {.targets = 9}};
  replies.Get(key, kStart, [] { return std::string("8 and 9"); });
  key.from.targets = 8;
  cr_expect(replies.Get(key, kStart, [] { return std::string("9"); }) == "9");
}

// Guards against a target that is told as cold long after it has warmed up.
Test(reply_cache, a_reply_is_made_anew_after_a_moment) {
  ReplyCache replies;
  const ReplyKey key;
  replies.Get(key, kStart, [] { return std::string("old"); });
  cr_expect(replies.Get(key, kStart + 60ms,
                        [] { return std::string("new"); }) == "new");
}

}  // namespace
}  // namespace knapweedroad
