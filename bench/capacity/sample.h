// Messages of an ordinary size that the experiments send.

#ifndef KNAPWEEDROAD_BENCH_CAPACITY_SAMPLE_H_
#define KNAPWEEDROAD_BENCH_CAPACITY_SAMPLE_H_

#include <string>
#include <vector>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/target/held_target.h"
#include "knapweedroad/target/target_report.h"
#include "knapweedroad/wire/attempt_call.h"
#include "knapweedroad/wire/attempt_reply.h"

namespace knapweedroad {

std::string SampleTargetName(int number);
std::string SampleAttemptName(int number);

// A search of about 100 bytes.
AttemptCall SampleCall(int number);

// Ten hits.
AttemptReply SampleReply();

TargetReport SampleReport(int number);
HeldTarget SampleHeld(int number);

// All of one zone; the first three may be control replicas.
std::vector<PeerSettings> SampleHosts(int count);

// A deployment of so many search fronts of 15 services each.
std::string SampleDeployment(int fronts, bool zone_out);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BENCH_CAPACITY_SAMPLE_H_
