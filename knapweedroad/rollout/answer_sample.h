// How one attempt on a target ended, in a byte: its latency on a logarithmic
// scale, or that it failed.
//
//   std::string samples;
//   samples += EncodeLatencySample(latency);
//   samples += kFailedSample;

#ifndef KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_
#define KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Steps of a sample in which a latency doubles.
inline constexpr int kSampleStepsPerDoubling = 8;
// The attempt failed, however long it took.
inline constexpr uint8_t kFailedSample = 255;
inline constexpr uint8_t kMaxLatencySample = 254;

// From 1 us up to an hour; beyond that the nearest.
uint8_t EncodeLatencySample(Duration latency);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLE_H_
