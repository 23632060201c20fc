// Takes the calls of other hosts: many calls on one TCP connection, each in a
// fiber of its own, answered in any order.
//
//   PeerServer server(runtime, {.endpoint = {"127.0.0.1", 7100},
//                               .handler = Dispatch});
//   auto port = server.Start();

#ifndef KNAPWEEDROAD_NET_PEER_SERVER_H_
#define KNAPWEEDROAD_NET_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class Runtime;

// Runs in a fiber of its own. The reply's bytes, or a text that tells the
// caller why there are none.
using PeerHandler =
    std::function<tl::expected<std::string, std::string>(PeerMessageType type,
                                                         std::string body)>;

struct PeerServerOptions {
  Endpoint endpoint;
  PeerHandler handler;
};

class PeerServer {
 public:
  PeerServer(Runtime& runtime, PeerServerOptions options);
  // Stops accepting and closes every connection.
  ~PeerServer();

  // The port it listens on.
  tl::expected<uint16_t, NetError> Start();

  // Calls that run now.
  size_t running() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_PEER_SERVER_H_
