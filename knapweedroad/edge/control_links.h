// A control host's connections to the replicas on other control hosts.

#ifndef KNAPWEEDROAD_EDGE_CONTROL_LINKS_H_
#define KNAPWEEDROAD_EDGE_CONTROL_LINKS_H_

#include <map>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class PeerClient;
class Runtime;

class ControlLinks {
 public:
  explicit ControlLinks(Runtime& runtime);
  ~ControlLinks();

  // Sends a message to the replica on `host` and blocks the calling fiber until
  // its reply or the deadline; the error is for the log.
  tl::expected<std::string, std::string> Call(const HostId& host,
                                              PeerMessageType type,
                                              const std::string& message,
                                              TimePoint deadline);

 private:
  Runtime& runtime;
  std::map<HostId, std::unique_ptr<PeerClient>> links;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_LINKS_H_
