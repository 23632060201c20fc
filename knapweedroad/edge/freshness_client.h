// Asks control hosts, several times a second, how recently a quorum confirmed
// the newest agreed version, and so keeps the proof that the configuration of
// this entry host is fresh.
//
//   FreshnessClient client({.self = name, .freshness = freshness, ...});
//   client.Run();  // in a fiber, until Stop()

#ifndef KNAPWEEDROAD_EDGE_FRESHNESS_CLIENT_H_
#define KNAPWEEDROAD_EDGE_FRESHNESS_CLIENT_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class ConfigurationFreshness;

struct FreshnessClientOptions {
  HostId self;
  // Receives the confirmations; outlives Run().
  ConfigurationFreshness& freshness;
  // Returns the control hosts to ask, the most preferred first.
  std::function<std::vector<HostId>()> control_hosts;
  // Sends a ConfirmCall to a control host and blocks until its reply or the
  // deadline.
  std::function<tl::expected<std::string, NetError>(const HostId& host,
                                                    std::string_view body,
                                                    TimePoint deadline)>
      call;
  // Called when a control host gives a fresh confirmation, and when it fails to
  // while there is no fresh one from another either: others have to be found.
  std::function<void(const HostId& host, bool is_confirmed)> on_confirmation;
  std::function<BootTime()> now = &BootClock::now;
  Duration interval = std::chrono::milliseconds(400);
  // A confirmation that is older isn't fresh, and another control host is
  // asked.
  Duration max_age = std::chrono::milliseconds(1000);
};

class FreshnessClient {
 public:
  explicit FreshnessClient(FreshnessClientOptions options);

  // Blocks the calling fiber until Stop(), and then for one call at the most.
  // No hook is called after Stop().
  void Run();
  void Stop() { this->is_stopped = true; }

  // Asks control hosts, one after the other, until one gives a fresh
  // confirmation, and returns whether one did. Those that failed to before are
  // asked again now and then, so that they are returned to.
  bool AskOnce();

 private:
  // Whether it is time to ask the host. One whose failure is known is asked
  // less often while others give fresh confirmations.
  bool IsDue(const HostId& host, bool is_recheck) const;
  // Returns whether the host gave a fresh confirmation.
  bool Ask(const HostId& host);
  // Takes the reply to a call that was sent at `sent_at`.
  bool TakeReply(std::string_view bytes, BootTime sent_at);
  bool IsFresh(std::optional<BootTime> confirmed_at) const;

  FreshnessClientOptions options;
  std::string call_body;
  std::minstd_rand random;
  // When each control host's last call ended.
  std::map<HostId, BootTime> asked;
  std::set<HostId> unconfirmed;
  std::optional<BootTime> newest_confirmation;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_FRESHNESS_CLIENT_H_
