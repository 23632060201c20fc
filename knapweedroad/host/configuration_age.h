// How old the configuration in force on a host may be.

#ifndef KNAPWEEDROAD_HOST_CONFIGURATION_AGE_H_
#define KNAPWEEDROAD_HOST_CONFIGURATION_AGE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Where the version in force came from.
enum class ConfigurationSource : uint8_t {
  kNone,     // there is none
  kInitial,  // the host's own file: nothing agreed is known here
  kAgreed,   // control: chosen, or read through a quorum
  kPeer,     // another host, which had it from control
};

constexpr std::string_view ToString(ConfigurationSource source) {
  switch (source) {
    case ConfigurationSource::kInitial:
      return "initial";
    case ConfigurationSource::kAgreed:
      return "agreed";
    case ConfigurationSource::kPeer:
      return "peer";
    case ConfigurationSource::kNone:
      break;
  }
  return "none";
}

struct ConfigurationAge {
  uint64_t version = 0;
  // The newest version that any host has spoken of.
  uint64_t newest_heard = 0;
  ConfigurationSource source = ConfigurationSource::kNone;
  Duration in_force_for{};
  // Since a majority of the control replicas was last heard, or one of its
  // reads last confirmed the version: a newer version may exist that was
  // accepted since. Absent: never in this life of the process.
  std::optional<Duration> out_of_touch_for;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONFIGURATION_AGE_H_
