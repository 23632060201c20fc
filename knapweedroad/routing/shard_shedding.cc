#include "knapweedroad/routing/shard_shedding.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedroad {
namespace {

// A smaller share than this is none.
constexpr double kLeastShare = 0.01;
// From this share on a shard counts as short of room.
constexpr double kShortShare = 0.15;

}  // namespace

ShardShedding::ShardShedding(ShardSheddingOptions options)
    : options(options),
      random(static_cast<std::minstd_rand::result_type>(options.seed)) {}

double ShardShedding::ShareOf(const ServiceId& shard, TimePoint now) const {
  const auto found = this->sheds.find(shard);
  if (found == this->sheds.end()) {
    return 0;
  }
  const double half_lives =
      static_cast<double>((now - found->second.at).count()) /
      static_cast<double>(this->options.half_life.count());
  return found->second.share * std::exp2(-half_lives);
}

void ShardShedding::OnPart(const ServiceId& shard,
                           bool in_time,
                           TimePoint now) {
  const double step =
      in_time ? -this->options.step_down : this->options.step_up;
  const double share =
      std::min(this->ShareOf(shard, now) + step, this->options.most);
  if (share < kLeastShare) {
    this->sheds.erase(shard);
    return;
  }
  this->sheds[shard] = {.share = share, .at = now};
}

std::vector<size_t> ShardShedding::Choose(std::span<const ServiceId> shards,
                                          size_t most,
                                          TimePoint now) {
  std::vector<size_t> chosen;
  if (this->sheds.size() <= most) {
    return chosen;
  }
  std::vector<double> shares;
  shares.reserve(shards.size());
  for (const ServiceId& shard : shards) {
    shares.push_back(this->ShareOf(shard, now));
  }
  std::uniform_real_distribution<double> uniform;
  const auto short_shards = static_cast<size_t>(std::ranges::count_if(
      shares, [](double share) { return share >= kShortShare; }));
  if (short_shards <= most) {
    return chosen;
  }
  while (chosen.size() < most) {
    const double all = std::accumulate(shares.begin(), shares.end(), 0.0);
    double drawn = uniform(this->random) * std::max(all, 1.0);
    size_t index = 0;
    while (index < shares.size() && drawn >= shares[index]) {
      drawn -= shares[index];
      ++index;
    }
    if (index == shares.size()) {
      break;
    }
    chosen.push_back(index);
    shares[index] = 0;
  }
  return chosen;
}

}  // namespace knapweedroad
