#include "knapweedroad/freshness/configuration_freshness.h"

#include <algorithm>

namespace knapweedroad {

ConfigurationFreshness::ConfigurationFreshness(
    ConfigurationFreshnessOptions options)
    : options(options) {}

void ConfigurationFreshness::OnVersionApplied(uint64_t version) {
  if (version <= this->applied_version) {
    return;
  }
  this->applied_version = version;
  std::erase_if(this->pending, [this](const Confirmation& confirmation) {
    if (confirmation.version > this->applied_version) {
      return false;
    }
    this->Prove(confirmation.confirmed_at);
    return true;
  });
}

void ConfigurationFreshness::OnConfirmed(uint64_t version,
                                         BootTime confirmed_at) {
  if (version <= this->applied_version) {
    this->Prove(confirmed_at);
    return;
  }
  // A confirmation is superseded by a later one of the same or a lower version.
  // One that is a bound older than another would prove nothing any more. Both
  // keep the list short on a host that can't read its configuration for long.
  const auto is_useless = [this](const Confirmation& old,
                                 const Confirmation& other) {
    return (other.version <= old.version &&
            other.confirmed_at >= old.confirmed_at) ||
           other.confirmed_at - old.confirmed_at >= this->options.bound;
  };
  const Confirmation added{.version = version, .confirmed_at = confirmed_at};
  if (std::ranges::any_of(this->pending, [&](const Confirmation& held) {
        return is_useless(added, held);
      })) {
    return;
  }
  std::erase_if(this->pending, [&](const Confirmation& held) {
    return is_useless(held, added);
  });
  this->pending.push_back(added);
}

bool ConfigurationFreshness::IsProven(BootTime now) const {
  const std::optional<Duration> age = this->Age(now);
  return age && *age < this->options.bound - this->options.margin;
}

bool ConfigurationFreshness::ShouldTakeCallers(BootTime now) const {
  const std::optional<Duration> age = this->Age(now);
  return age && *age < this->options.bound / 2;
}

std::optional<Duration> ConfigurationFreshness::Age(BootTime now) const {
  if (!this->proven_at) {
    return std::nullopt;
  }
  return now - *this->proven_at;
}

void ConfigurationFreshness::Prove(BootTime confirmed_at) {
  this->proven_at =
      std::max(this->proven_at.value_or(confirmed_at), confirmed_at);
}

}  // namespace knapweedroad
