// Calls other entry hosts that gather parts, see GatherRelay.
//
//   GatherLinks links(runtime, relays);
//   auto gather = links.Start({.relay = record, .call = call, ...});
//   gather->End(grace);  // the remaining parts are not needed

#ifndef KNAPWEEDROAD_EDGE_GATHER_LINKS_H_
#define KNAPWEEDROAD_EDGE_GATHER_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/gather_messages.h"
#include "knapweedroad/registry/entry_host_record.h"

namespace knapweedroad {

class PeerClient;
class RelayChoice;
class Runtime;

struct GatherOrder {
  EntryHostRecord relay;
  GatherCall call;
  // For the log.
  std::string request_id;
  TimePoint deadline;
  // Called with each reply, from another turn of the loop.
  std::function<void(GatherReply reply)> on_reply;
  // Called once, instead of any further reply, if the call has failed. If
  // `may_have_run` is false, no target was sent anything.
  std::function<void(bool may_have_run)> on_lost;
};

// Records that a gathering host has left out of its reply.
struct HeldRecords {
  EntryHostRecord relay;
  uint64_t token = 0;
  uint16_t batch = 0;
  // How many.
  size_t count = 0;
};

class GatherExchange {
 public:
  virtual ~GatherExchange() = default;
  // Calls no callback from now on. Attempts in flight are cancelled after
  // `grace`.
  virtual void End(Duration grace) = 0;
};

class GatherLinks {
 public:
  // `relays` must outlive all exchanges. Each call is recorded there.
  GatherLinks(Runtime& runtime, RelayChoice& relays);
  ~GatherLinks();

  std::shared_ptr<GatherExchange> Start(GatherOrder order);

  // Fetches records that were left out of a reply. Calls `on_records` once, in
  // a later turn of the event loop, with nothing if they can't be fetched.
  void FetchHeld(
      const HeldRecords& held,
      std::function<void(std::optional<std::string> records)> on_records);

 private:
  class Exchange;

  std::shared_ptr<PeerClient> ClientOf(const EntryHostRecord& relay);

  struct Link {
    Endpoint endpoint;
    std::shared_ptr<PeerClient> client;
  };

  Runtime& runtime;
  RelayChoice& relays;
  std::unordered_map<HostId, Link> links;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_LINKS_H_
