// Has other entry hosts gather parts.
//
//   GatherLinks links(runtime, relays);
//   auto gather = links.Start({.relay = record, .call = call, ...});
//   gather->End(grace);   // nobody waits for the rest any more

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
  // Called once instead of any further reply: none will come. Without
  // `may_have_run` nothing was sent to any target.
  std::function<void(bool may_have_run)> on_lost;
};

// Records that a host which gathered has held back.
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
  // No callback is called from now on; attempts that run are cut within
  // `grace`.
  virtual void End(Duration grace) = 0;
};

class GatherLinks {
 public:
  // `relays` outlives all exchanges and hears how its hosts do.
  GatherLinks(Runtime& runtime, RelayChoice& relays);
  ~GatherLinks();

  std::shared_ptr<GatherExchange> Start(GatherOrder order);

  // Asks for records that were held back from a reply. `on_records` is called
  // once, from another turn of the loop; with nothing where they can't be had.
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
