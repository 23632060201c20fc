// A control host: agrees on the routing configuration, the zones that are out
// and roll-outs, hears targets, and tells hosts that follow it.
//
//   ControlHost host(runtime, {.settings = settings, ...});
//   auto started = host.Start();
//   AnnounceResult taken = host.Announce(record);
//   PutResult put = host.PutRouting(9, text, deadline);

#ifndef KNAPWEEDROAD_EDGE_CONTROL_HOST_H_
#define KNAPWEEDROAD_EDGE_CONTROL_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/role_settings.h"
#include "knapweedroad/edge/order_guard.h"
#include "knapweedroad/edge/routing_reader.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/registry/target_registry.h"

namespace knapweedroad {

class Runtime;
struct CallOrigin;

struct ControlHostOptions {
  RoleSettings settings;
  // Answers what operators and targets ask over HTTP; runs in a fiber of its
  // own and may block it.
  std::function<HttpResponse(const HttpRequest& request,
                             const CallOrigin& origin)>
      on_request;
  // Reads the accounts' limits out of the agreed configuration. Unset: no
  // account has a limit.
  RoutingReader read_routing;
  // Called every 100 ms, for the log.
  std::function<void()> on_tick;
};

class ControlHost {
 public:
  ControlHost(Runtime& runtime, ControlHostOptions options);
  ~ControlHost();

  // Opens the data folder, listens, and begins to look for its peers. Blocks
  // the thread while it reads the disk; the error names place and remedy.
  tl::expected<void, std::string> Start();
  void Reload(const RoleSettings& settings);
  // Lets running calls end. Blocks the calling fiber.
  void Shutdown();

  // A target tells of itself. Blocks the calling fiber where it says that it
  // leaves, as SignOff().
  AnnounceResult Announce(TargetRecord record, TimePoint deadline);
  // Where a target of that zone is to announce itself from now on; nothing: it
  // goes on as it does.
  std::optional<Endpoint> NearerHost(const ZoneId& zone,
                                     const TargetId& target) const;
  // A target is gone; see TargetRegistry::Deregister(). Blocks the calling
  // fiber until a quorum has that on its disks, or the deadline (kNotHeld): it
  // may be known by then, and the same again settles it.
  AnnounceResult SignOff(const TargetId& id,
                         uint64_t started_ms,
                         uint64_t sequence,
                         TimePoint deadline);

  // Makes the text the newest configuration unless its number is not above the
  // newest one's. True: a quorum holds this or a newer one on its disks; false:
  // not known, the same again settles it. Blocks the calling fiber.
  bool PutRouting(uint64_t number, std::string text, TimePoint deadline);

  // Takes a zone out or back in, unless the order may be a late copy. Blocks
  // the calling fiber.
  OrderResult SetZoneOut(const ZoneId& zone,
                         bool is_out,
                         const CallOrigin& origin,
                         TimePoint deadline);

  // Orders that the service's requests be moved to targets of that version
  // within the duration, if those do as well; as SetZoneOut().
  OrderResult OrderRollout(const ServiceId& service,
                           const VersionId& version,
                           Duration duration,
                           const CallOrigin& origin,
                           TimePoint deadline);

  // Whether any target of the service is known.
  bool HasTargets(const ServiceId& service) const;

  // The newest state there is; nothing where that can't be known now. Blocks
  // the calling fiber.
  std::optional<AgreedState> ReadAgreed(TimePoint deadline);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_HOST_H_
