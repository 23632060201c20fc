// A configuration on its way between hosts.

#ifndef KNAPWEEDROAD_WIRE_CONFIGURATION_PUSH_H_
#define KNAPWEEDROAD_WIRE_CONFIGURATION_PUSH_H_

#include <cstdint>
#include <string>

namespace knapweedroad {

// Asks for the version in force at the other host.
struct ConfigurationPull {
  // In force at the one that asks; zero for none.
  uint64_t have_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->have_version);
  }
};

struct ConfigurationPush {
  uint64_t version = 0;
  // What `body` is a JSON patch (RFC 6902) of; zero: `body` is the whole text.
  uint64_t base_version = 0;
  std::string body;
  // Of the whole text of `version`, after a patch too.
  uint64_t checksum = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->base_version, this->body, this->checksum);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_CONFIGURATION_PUSH_H_
