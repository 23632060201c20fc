#include "knapweedroad/host/peer_links.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/udp_socket.h"
#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/datagram.h"

namespace knapweedroad {

PeerLinks::PeerLinks(Runtime& runtime, const HostSettings& settings)
    : runtime(runtime), own_endpoint(settings.peer_address) {
  for (const PeerSettings& peer : settings.hosts) {
    if (peer.name != settings.name) {
      this->peers.push_back(peer);
      this->clients.emplace(
          peer.name,
          std::make_unique<PeerClient>(
              runtime,
              PeerClientOptions{
                  .endpoint = peer.peer_address,
                  .on_refused = [this, name = peer.name](TimePoint attempted) {
                    if (this->refused_listener) {
                      this->refused_listener(name, attempted);
                    }
                  }}));
    }
  }
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::OnCall(PeerMessageType type, PeerHandler handler) {
  this->call_handlers[type] = std::move(handler);
}

void PeerLinks::OnDatagram(PeerMessageType type, DatagramHandler handler) {
  this->datagram_handlers[type] = std::move(handler);
}

void PeerLinks::OnRefused(
    std::function<void(const HostId&, TimePoint)> listener) {
  this->refused_listener = std::move(listener);
}

tl::expected<void, NetError> PeerLinks::Start() {
  this->server = std::make_unique<PeerServer>(
      this->runtime,
      PeerServerOptions{
          .endpoint = this->own_endpoint,
          .handler = [this](PeerMessageType type, std::string body) {
            return this->Dispatch(type, std::move(body));
          }});
  this->socket = std::make_unique<UdpSocket>(
      this->runtime,
      UdpSocketOptions{.endpoint = this->own_endpoint,
                       .on_datagram = [this](std::string_view bytes) {
                         this->Hear(bytes);
                       }});
  if (const auto port = this->server->Start(); !port) {
    return tl::unexpected(port.error());
  }
  return this->socket->Start();
}

PeerClient* PeerLinks::Find(const HostId& host) {
  const auto found = this->clients.find(host);
  return found == this->clients.end() ? nullptr : found->second.get();
}

void PeerLinks::Send(const HostId& host,
                     PeerMessageType type,
                     std::string_view body) {
  const auto peer =
      std::find_if(this->peers.begin(), this->peers.end(),
                   [&](const PeerSettings& each) { return each.name == host; });
  if (peer == this->peers.end() || this->socket == nullptr) {
    return;
  }
  const std::string bytes =
      EncodeBytes(Datagram{.type = type, .body = std::string(body)});
  this->sent_bytes += bytes.size();
  this->socket->Send(peer->peer_address, bytes);
}

void PeerLinks::SendToAll(PeerMessageType type, std::string_view body) {
  for (const PeerSettings& peer : this->peers) {
    this->Send(peer.name, type, body);
  }
}

size_t PeerLinks::running_calls() const {
  return this->server == nullptr ? 0 : this->server->running();
}

void PeerLinks::Hear(std::string_view bytes) {
  const auto datagram = DecodeBytes<Datagram>(bytes);
  if (!datagram) {
    return;
  }
  const auto handler = this->datagram_handlers.find(datagram->type);
  if (handler != this->datagram_handlers.end()) {
    handler->second(datagram->body);
  }
}

tl::expected<std::string, std::string> PeerLinks::Dispatch(PeerMessageType type,
                                                           std::string body) {
  const auto handler = this->call_handlers.find(type);
  if (handler == this->call_handlers.end()) {
    return tl::unexpected(std::string("this host takes no such message"));
  }
  return handler->second(type, std::move(body));
}

}  // namespace knapweedroad
