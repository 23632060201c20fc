// The manifest of one partition generation of a front's index.

#ifndef KNAPWEEDROAD_CONFIG_GENERATION_CONFIG_H_
#define KNAPWEEDROAD_CONFIG_GENERATION_CONFIG_H_

#include <cstdint>
#include <map>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// Which share of the index each service holds in this generation. The sum is
// the denominator of every coverage figure: it comes from here and never from
// who is alive, so that a shard without any replica still counts.
struct GenerationConfig {
  uint32_t number = 0;
  // Units (equal parts of the index) by service; every value above zero.
  std::map<ServiceId, uint32_t> units;

  friend bool operator==(const GenerationConfig&,
                         const GenerationConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_GENERATION_CONFIG_H_
