// One-byte encoding of the outcome of one attempt on a target: its latency on a
// logarithmic scale, or a failure. Samples are sent in rollout reports.
//
//   std::string samples;
//   samples += static_cast<char>(EncodeLatencySample(latency));
//   samples += static_cast<char>(kFailedSample);

#ifndef KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_
#define KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The number of sample steps per doubling of the latency.
inline constexpr int kSampleStepsPerDoubling = 8;
// The sample of a failed attempt, whatever its latency.
inline constexpr uint8_t kFailedSample = 255;
// The sample of the longest latency that can be encoded, about one hour.
inline constexpr uint8_t kMaxLatencySample = 254;

// Returns the sample of `latency`, from 0 (1 us or less) to kMaxLatencySample.
// Longer latencies are encoded as kMaxLatencySample.
uint8_t EncodeLatencySample(Duration latency);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_
