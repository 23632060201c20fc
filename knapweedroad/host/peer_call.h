// The hook by which a class calls another host.

#ifndef KNAPWEEDROAD_HOST_PEER_CALL_H_
#define KNAPWEEDROAD_HOST_PEER_CALL_H_

#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

// Blocks the calling fiber until the reply's bytes or the deadline; as
// PeerClient::Call of that host. A host that isn't known is a kConnect error.
using PeerCall =
    std::function<tl::expected<std::string, NetError>(const HostId& host,
                                                      PeerMessageType type,
                                                      std::string_view body,
                                                      TimePoint deadline)>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_PEER_CALL_H_
