// Which shards a request had better leave out, because they can't serve all
// requests in time: learned from how often each one's parts came late.
//
//   ShardShedding shedding({.seed = seed});
//   shedding.OnPart(service, /*in_time=*/false, now);
//   for (size_t shard : shedding.Choose(services, most, now)) LeaveOut(shard);

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

struct ShardSheddingOptions {
  // What one late part adds to the share of requests that leave its shard out,
  // and what one in time takes off: a shard is left out more while over one
  // part in six is late.
  double late_increase = 0.1;
  double in_time_decrease = 0.02;
  // The most of a shard's requests that may leave it out: the others show when
  // it has room again.
  double max_share = 0.9;
  // The share halves in this time without news.
  Duration half_life = std::chrono::milliseconds(2500);
  uint64_t seed = 1;
};

// Load shedding by shard: a shard that can't serve all gets fewer requests, so
// that those it gets are in time. Each request leaves out at most as many
// shards as its least share bears.
class ShardShedding {
 public:
  explicit ShardShedding(ShardSheddingOptions options);

  // A part of the shard was there when the answer was due, or was not.
  void OnPart(const ServiceId& shard, bool in_time, TimePoint now);

  // Indices into `shards`, `most` of them at the most; none while no more are
  // short than that: their parts are missing only where they are late. Draws at
  // most one shard a place, so that requests spread over the short ones.
  std::vector<size_t> ChooseShardsToSkip(std::span<const ServiceId> shards,
                                         size_t max_shards,
                                         TimePoint now);

  // The share of requests that leave it out.
  double SkipShareOf(const ServiceId& shard, TimePoint now) const;

 private:
  struct ShardShare {
    double share = 0;
    TimePoint updated_at;
  };

  ShardSheddingOptions options;
  std::unordered_map<ServiceId, ShardShare> shares;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_SHARD_SHEDDING_H_
