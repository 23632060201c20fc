// The configuration in force on this host: its version only ever rises.
//
//   ConfigurationKeeper keeper;
//   keeper.OnChange([](const DeploymentConfig& now) { ... });
//   auto offered = keeper.Offer(8, text, now);
//   auto current = keeper.current();   // stays as it is while it is held
//
// Version 0 is a host's own initial configuration: the first agreed version, 1,
// replaces it, whatever it says.

#ifndef KNAPWEEDROAD_HOST_CONFIGURATION_KEEPER_H_
#define KNAPWEEDROAD_HOST_CONFIGURATION_KEEPER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/wire/configuration_push.h"

namespace knapweedroad {

class ConfigurationKeeper {
 public:
  ConfigurationKeeper();

  // Called with each configuration that comes into force, in order.
  void OnChange(std::function<void(const DeploymentConfig&)> listener);

  // Puts the text into force if its version is higher than the current one;
  // an older or equal one changes nothing. The error says why a newer text
  // can't be used; the current one then stays in force.
  tl::expected<void, std::string> Offer(uint64_t version,
                                        const std::string& text,
                                        TimePoint now);

  // As Offer(), for what the control replicas have chosen: another text under
  // the version in force is replaced by it.
  tl::expected<void, std::string> OfferAgreed(uint64_t version,
                                              const std::string& text,
                                              TimePoint now);

  // The difference from `base_version` where that is still known here, else
  // the whole text.
  ConfigurationPush PushFrom(uint64_t base_version) const;

  // Puts what PushFrom() made on another host into force. An error may be of
  // the difference only: the whole text (PushFrom(0) there) may still do.
  tl::expected<void, std::string> Apply(const ConfigurationPush& push,
                                        TimePoint now);

  uint64_t version() const { return this->current_version; }
  const std::shared_ptr<const DeploymentConfig>& current() const {
    return this->configuration;
  }
  // JSON without comments and layout, the same on every host; empty for none.
  const std::string& text() const { return this->current_text; }
  // When the current version came into force here.
  TimePoint since() const { return this->in_force_since; }

 private:
  tl::expected<void, std::string> PutIntoForce(uint64_t version,
                                               const std::string& text,
                                               TimePoint now);

  struct Past {
    uint64_t version = 0;
    std::string text;
  };

  uint64_t current_version = 0;
  std::string current_text;
  std::shared_ptr<const DeploymentConfig> configuration;
  TimePoint in_force_since;
  std::deque<Past> past;
  std::vector<std::function<void(const DeploymentConfig&)>> listeners;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONFIGURATION_KEEPER_H_
