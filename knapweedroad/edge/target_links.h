// All connections of an entry host to targets, and one exchange on them.
//
//   TargetLinks links(runtime, {.header_names = header_names, ...});
//   auto exchange = links.Send({.target = id, .address = address, ...}, done);
//   exchange->Abandon(grace);

#ifndef KNAPWEEDROAD_EDGE_TARGET_LINKS_H_
#define KNAPWEEDROAD_EDGE_TARGET_LINKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

class Runtime;
struct HeaderNames;
struct TargetReply;

struct TargetLinksOptions {
  const HeaderNames& header_names;
  // A target closed an idle connection that it had not said it would close.
  std::function<void(const TargetId&)> on_idle_closed;
  // How long a new connection is watched before it is written to, where it may
  // be turned away. A target over its cap accepts a connection and resets it at
  // once; the reset is here within two ways between zones of up to 1.5 ms.
  Duration settle = std::chrono::milliseconds(3);
};

struct TargetSend {
  TargetId target;
  Endpoint address;
  // Makes the request's bytes, right before they are written.
  std::function<std::string()> bytes;
  std::string request_id;
  // Whether the answer's header lines are wanted, beside those that are read.
  bool wants_header = true;
  // A connection idle for longer isn't used: the target may have closed it
  // meanwhile, and then nobody knows whether the request ran.
  Duration max_idle = Duration::max();
  // A new connection is watched for a moment before it is written to, so that
  // one which the target resets at once shows that nothing was sent.
  bool settles = false;
  // Health questions use a connection of their own.
  bool keep_connection = true;
  // Longer answers are taken for bytes that are none.
  size_t max_answer_bytes = 8 << 20;
  TimePoint deadline;
};

class TargetExchange {
 public:
  virtual ~TargetExchange() = default;
  // Nobody waits for the reply any more. The exchange may go on for `grace` so
  // that its connection can be kept; then it is cut. `ended` replaces the
  // callback of Send().
  virtual void Abandon(Duration grace,
                       std::function<void(const TargetReply& reply)> ended) = 0;
};

class TargetLinks {
 public:
  TargetLinks(Runtime& runtime, TargetLinksOptions options);
  ~TargetLinks();

  // Calls `done` once, from another turn of the loop, at the deadline at the
  // latest.
  std::shared_ptr<TargetExchange> Send(
      TargetSend send,
      std::function<void(TargetReply reply)> done);

  // Ends what is past its deadline, watches connections that were kept, and
  // closes those that the targets are about to close. Called about ten times a
  // second.
  void Sweep(TimePoint now);

  // Closes idle connections to targets for which `keep` is false.
  void Prune(const std::function<bool(const TargetId&)>& keep);

  bool has_idle(const TargetId& target) const;
  size_t connections() const;
  // Connections opened so far.
  size_t opened() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_LINKS_H_
