// This host's ways to every other host: calls over TCP, datagrams over UDP.
//
//   PeerLinks links(runtime, settings);
//   links.OnDatagram(PeerMessageType::kHeartbeat, Hear);
//   auto started = links.Start();
//   links.Send(host, PeerMessageType::kHeartbeat, bytes);

#ifndef KNAPWEEDROAD_HOST_PEER_LINKS_H_
#define KNAPWEEDROAD_HOST_PEER_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class PeerClient;
class Runtime;
class UdpSocket;

class PeerLinks {
 public:
  using DatagramHandler = std::function<void(std::string_view body)>;

  PeerLinks(Runtime& runtime, const HostSettings& settings);
  ~PeerLinks();

  // One handler a type, set before Start(); what has none is dropped.
  void OnCall(PeerMessageType type, PeerHandler handler);
  void OnDatagram(PeerMessageType type, DatagramHandler handler);
  // Called when the host's peer port refused a connection begun then.
  void OnRefused(std::function<void(const HostId&, TimePoint)> listener);

  tl::expected<void, NetError> Start();

  // Null for this host and for unknown ones.
  PeerClient* Find(const HostId& host);

  // Over UDP; lost where it can't leave.
  void Send(const HostId& host, PeerMessageType type, std::string_view body);
  void SendToAll(PeerMessageType type, std::string_view body);

  // All hosts but this one.
  const std::vector<PeerSettings>& others() const { return this->peers; }
  // Bytes sent as datagrams since the start.
  uint64_t datagram_bytes() const { return this->sent_bytes; }
  // Calls of other hosts that run now.
  size_t running_calls() const;

 private:
  void Hear(std::string_view datagram);
  tl::expected<std::string, std::string> Dispatch(PeerMessageType type,
                                                  std::string body);

  Runtime& runtime;
  Endpoint own_endpoint;
  std::vector<PeerSettings> peers;
  std::map<HostId, std::unique_ptr<PeerClient>> clients;
  std::map<PeerMessageType, PeerHandler> call_handlers;
  std::map<PeerMessageType, DatagramHandler> datagram_handlers;
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<UdpSocket> socket;
  std::function<void(const HostId&, TimePoint)> refused_listener;
  uint64_t sent_bytes = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_PEER_LINKS_H_
