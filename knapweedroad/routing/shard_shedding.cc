#include "knapweedroad/routing/shard_shedding.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedroad {
namespace {

// Skip shares below this count as zero.
constexpr double kMinShare = 0.01;
// The skip share from which on a shard counts as overloaded.
constexpr double kOverloadedShare = 0.15;

}  // namespace

ShardShedding::ShardShedding(ShardSheddingOptions options)
    : options(options),
      random(static_cast<std::minstd_rand::result_type>(options.seed)) {}

double ShardShedding::SkipShareOf(const ServiceId& shard, TimePoint now) const {
  const auto found = this->shares.find(shard);
  if (found == this->shares.end()) {
    return 0;
  }
  const double half_lives =
      static_cast<double>((now - found->second.updated_at).count()) /
      static_cast<double>(this->options.half_life.count());
  return found->second.share * std::exp2(-half_lives);
}

void ShardShedding::OnPart(const ServiceId& shard,
                           bool in_time,
                           TimePoint now) {
  const double step =
      in_time ? -this->options.in_time_decrease : this->options.late_increase;
  const double share =
      std::min(this->SkipShareOf(shard, now) + step, this->options.max_share);
  if (share < kMinShare) {
    this->shares.erase(shard);
    return;
  }
  this->shares[shard] = {.share = share, .updated_at = now};
}

std::vector<size_t> ShardShedding::ChooseShardsToSkip(
    std::span<const ServiceId> shards,
    size_t max_shards,
    TimePoint now) {
  std::vector<size_t> chosen;
  if (this->shares.size() <= max_shards) {
    return chosen;
  }
  std::vector<double> weights;
  weights.reserve(shards.size());
  for (const ServiceId& shard : shards) {
    weights.push_back(this->SkipShareOf(shard, now));
  }
  std::uniform_real_distribution<double> uniform;
  const auto overloaded_count = static_cast<size_t>(std::ranges::count_if(
      weights, [](double weight) { return weight >= kOverloadedShare; }));
  if (overloaded_count <= max_shards) {
    return chosen;
  }
  while (chosen.size() < max_shards) {
    const double total_weight =
        std::accumulate(weights.begin(), weights.end(), 0.0);
    double position = uniform(this->random) * std::max(total_weight, 1.0);
    size_t index = 0;
    while (index < weights.size() && position >= weights[index]) {
      position -= weights[index];
      ++index;
    }
    if (index == weights.size()) {
      break;
    }
    chosen.push_back(index);
    weights[index] = 0;
  }
  return chosen;
}

}  // namespace knapweedroad
