// Chooses the shards that a scatter doesn't ask because they can't serve all
// requests in time, from how often their parts of answers were late.
//
//   ShardShedding shedding({.seed = seed});
//   shedding.OnPart(service, /*in_time=*/false, now);
//   for (size_t index :
//        shedding.ChooseShardsToSkip(services, max_shards, now)) {
//     Skip(index);
//   }

#ifndef KNAPWEEDROAD_ROUTING_SHARD_SHEDDING_H_
#define KNAPWEEDROAD_ROUTING_SHARD_SHEDDING_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Parameters of a shard's skip share, the share of requests that skip it.
struct ShardSheddingOptions {
  // What a late part adds to its shard's skip share, and what a part in time
  // subtracts. The share grows while more than one part in six is late.
  double late_increase = 0.1;
  double in_time_decrease = 0.02;
  // The largest skip share. The remaining requests show when the shard has
  // capacity again.
  double max_share = 0.9;
  // The time in which a skip share halves while no parts are recorded.
  Duration half_life = std::chrono::milliseconds(2500);
  uint64_t seed = 1;
};

// Load shedding by shard: an overloaded shard is sent fewer requests, so that
// it answers those in time. A request skips at most as many shards as may be
// missing from its answer.
class ShardShedding {
 public:
  explicit ShardShedding(ShardSheddingOptions options);

  // Records whether a part of the shard's was in time for its answer.
  void OnPart(const ServiceId& shard, bool in_time, TimePoint now);

  // Returns the shards that a request skips, as distinct indices into `shards`,
  // `max_shards` of them at the most. They are drawn at random with the skip
  // shares as weights, so that requests spread over the overloaded shards.
  //
  // Returns none if `max_shards` or fewer of the shards are overloaded: their
  // parts may be missing anyway, and this way those that are in time count.
  std::vector<size_t> ChooseShardsToSkip(std::span<const ServiceId> shards,
                                         size_t max_shards,
                                         TimePoint now);

  // Returns the shard's skip share, from 0 to 1.
  double SkipShareOf(const ServiceId& shard, TimePoint now) const;

 private:
  // A skip share as of `updated_at`.
  struct ShardShare {
    double share = 0;
    TimePoint updated_at;
  };

  ShardSheddingOptions options;
  // Without the shards whose share is negligible.
  std::unordered_map<ServiceId, ShardShare> shares;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_SHARD_SHEDDING_H_
