// How one exchange with a target ended.

#ifndef KNAPWEEDROAD_EDGE_TARGET_REPLY_H_
#define KNAPWEEDROAD_EDGE_TARGET_REPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/request_run.h"
#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

enum class ReplyKind : uint8_t {
  kAnswered,     // a whole answer for this request
  kUnreachable,  // no connection: nothing was sent
  kRejected,     // a new connection was closed before anything was sent
  kBroken,       // no whole answer in time, or the bytes are no answer
  // The target closed the connection before any byte of an answer. Not known to
  // hosts of earlier versions, which treat it as kBroken.
  kDisconnected,
};

std::string_view ToString(ReplyKind kind);

struct TargetReply {
  ReplyKind kind = ReplyKind::kBroken;
  // With kAnswered.
  TargetAnswer answer;
  // The target says that it ran nothing.
  bool says_not_run = false;
  std::optional<TargetLoad> load;
  bool has_malformed_load = false;
  // Who answered, where it says so.
  std::string target;
  std::optional<Duration> cold_left;
  // From the first byte sent to the last one read.
  Duration latency{};
  // Another entry host had it; its body is merged with others.
  bool was_gathered = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_REPLY_H_
