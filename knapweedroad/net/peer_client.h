// Calls to one other host.
//
//   PeerClient peer(runtime, {.endpoint = {"127.0.0.1", 7100}});
//   auto reply = peer.Call(PeerMessageType::kAttempt, bytes, deadline);

#ifndef KNAPWEEDROAD_NET_PEER_CLIENT_H_
#define KNAPWEEDROAD_NET_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class Runtime;

struct PeerClientOptions {
  Endpoint endpoint;
  // A connection on which calls wait and nothing has come for this long is
  // taken for silent: calls from then on go over a new one.
  Duration silence = std::chrono::milliseconds(300);
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Called when a connection begun at `attempted` was refused: no process
  // listens there. Silence never calls it.
  std::function<void(TimePoint attempted)> on_refused;
};

class PeerClient {
 public:
  PeerClient(Runtime& runtime, PeerClientOptions options);
  ~PeerClient();

  // Blocks the calling fiber until the reply or the deadline. An error with
  // `written` false proves that the other host never had the call.
  tl::expected<std::string, NetError> Call(PeerMessageType type,
                                           std::string_view body,
                                           TimePoint deadline);

  // For how long calls have waited with nothing coming in; zero while none
  // waits.
  Duration unanswered_for(TimePoint now) const;

  // Connections given up as silent.
  size_t silent_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_PEER_CLIENT_H_
