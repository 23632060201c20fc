// Tells whether the configuration that an entry host has is proven to have been
// the newest one recently enough for keys to be trusted.
//
//   ConfigurationFreshness freshness({.bound = 5s});
//   freshness.OnVersionApplied(version);
//   freshness.OnConfirmed(version, sent_at + offset);
//   if (freshness.IsProven(BootClock::now())) Serve(request);

#ifndef KNAPWEEDROAD_FRESHNESS_CONFIGURATION_FRESHNESS_H_
#define KNAPWEEDROAD_FRESHNESS_CONFIGURATION_FRESHNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct ConfigurationFreshnessOptions {
  // How long after the acknowledgement of a configuration a request with a key
  // that it removed may still be sent and run.
  Duration bound{};
  // Subtracted from the bound, for the drift between the clocks of two hosts.
  Duration margin = std::chrono::milliseconds(100);
};

// A proof at time T says that this host knows all configurations that were
// acknowledged before T. It is valid while it is younger than the bound less
// the margin.
class ConfigurationFreshness {
 public:
  explicit ConfigurationFreshness(ConfigurationFreshnessOptions options);

  // Records that this host has read the configuration of `version` and of all
  // versions before it. Lower versions than before have no effect.
  void OnVersionApplied(uint64_t version);

  // Records that no version above `version` had been agreed at
  // `confirmed_at`. The proof counts once `version` has been applied.
  void OnConfirmed(uint64_t version, BootTime confirmed_at);

  // Whether requests with a key may be sent to targets.
  bool IsProven(BootTime now) const;

  // Whether the host should take new callers: true while the proof is younger
  // than half of the bound, so that callers go elsewhere before they are
  // rejected here.
  bool ShouldTakeCallers(BootTime now) const;

  // Returns the age of the newest proof, or nothing if there is none.
  std::optional<Duration> Age(BootTime now) const;

 private:
  struct Confirmation {
    uint64_t version = 0;
    BootTime confirmed_at;
  };

  void Prove(BootTime confirmed_at);

  ConfigurationFreshnessOptions options;
  uint64_t applied_version = 0;
  std::optional<BootTime> proven_at;
  // Confirmations of versions that aren't applied yet.
  std::vector<Confirmation> pending;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_FRESHNESS_CONFIGURATION_FRESHNESS_H_
