#include "knapweedroad/host/control_links.h"

#include <string>
#include <utility>

#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/net/peer_client.h"

namespace knapweedroad {

using Answer = tl::expected<std::string, std::string>;

void ServeControl(PeerLinks& links, std::shared_ptr<ControlReplica> replica) {
  links.OnCall(
      PeerMessageType::kControl,
      [replica = std::move(replica)](PeerMessageType,
                                     const std::string& body) -> Answer {
        // The links may go while the call waits for its sync; the
        // replica stays as long as the call.
        // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
        const std::shared_ptr<ControlReplica> held = replica;
        if (held == nullptr) {
          return tl::unexpected(std::string("no control replica here"));
        }
        return held->OnPeerMessage(body);
      });
}

ControlCall ControlCallOver(PeerLinks& links) {
  return [&links](const HostId& host, const std::string& message,
                  TimePoint deadline) -> Answer {
    PeerClient* const peer = links.Find(host);
    if (peer == nullptr) {
      return tl::unexpected("the settings name no host " + host.str());
    }
    auto reply = peer->Call(PeerMessageType::kControl, message, deadline);
    if (!reply.has_value()) {
      return tl::unexpected(std::move(reply.error().detail));
    }
    return *std::move(reply);
  };
}

std::vector<HostId> FirstReplicas(const HostSettings& settings) {
  std::vector<HostId> replicas;
  for (const PeerSettings& host : settings.hosts) {
    if (host.control_replica) {
      replicas.push_back(host.name);
    }
  }
  return replicas;
}

}  // namespace knapweedroad
