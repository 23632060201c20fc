#include "knapweedroad/edge/control_links.h"

#include <utility>

#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

ControlLinks::ControlLinks(Runtime& runtime) : runtime(runtime) {}

ControlLinks::~ControlLinks() = default;

tl::expected<std::string, std::string> ControlLinks::Call(
    const HostId& host,
    PeerMessageType type,
    const std::string& message,
    TimePoint deadline) {
  auto& link = this->links[host];
  if (link == nullptr) {
    link = std::make_unique<PeerClient>(
        this->runtime, PeerClientOptions{.endpoint = EndpointOf(host)});
  }
  auto reply = link->Call(type, message, deadline);
  if (!reply) {
    return tl::unexpected(std::move(reply.error().detail));
  }
  return *std::move(reply);
}

}  // namespace knapweedroad
