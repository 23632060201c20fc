#include "knapweedroad/edge/rollout_reporter.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/rollout/answer_sampler.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReportTimeout = milliseconds(500);
constexpr Duration kRetryInterval = milliseconds(100);
constexpr Duration kLeastInterval = milliseconds(20);
constexpr Duration kMostInterval = milliseconds(1000);

}  // namespace

RolloutReporter::RolloutReporter(Runtime& runtime,
                                 AnswerSampler& sampler,
                                 RolloutReporterOptions options)
    : runtime(runtime), sampler(sampler), options(std::move(options)) {}

void RolloutReporter::ApplySplits() {
  this->options.on_splits(this->sampler.Splits(Runtime::Now()));
}

void RolloutReporter::SetRollouts(std::span<const RolloutRecord> rollouts) {
  this->sampler.SetRollouts(rollouts);
  this->ApplySplits();
  for (const HostId& owner : this->sampler.Owners()) {
    if (this->reported_to.insert(owner).second) {
      this->runtime.Spawn(
          [self = this->shared_from_this(), owner] { self->ReportTo(owner); });
    }
  }
}

void RolloutReporter::ReportTo(const HostId& owner) {
  PeerClient peer(this->runtime, {.endpoint = EndpointOf(owner)});
  while (!this->is_stopped && this->sampler.Owners().contains(owner)) {
    Runtime::SleepFor(this->Report(peer, owner));
  }
  this->reported_to.erase(owner);
}

Duration RolloutReporter::Report(PeerClient& peer, const HostId& owner) {
  const TimePoint sent_at = Runtime::Now();
  const RolloutReport report = this->sampler.MakeReport(owner, sent_at);
  const auto bytes = peer.Call(PeerMessageType::kRollout, EncodePacked(report),
                               sent_at + kReportTimeout);
  if (!bytes) {
    LogLine("rollout_report_lost")
        .Add("owner", owner)
        .Add("detail", bytes.error().detail)
        .Info();
    return kRetryInterval;
  }
  const auto reply = DecodePacked<RolloutReportReply>(*bytes);
  if (!reply) {
    LogLine("rollout_reply_unreadable")
        .Add("owner", owner)
        .Add("detail", reply.error())
        .Error();
    return kRetryInterval;
  }
  this->sampler.OnReportReply(owner, *reply, sent_at);
  this->ApplySplits();
  return std::clamp<Duration>(milliseconds(reply->next_ms), kLeastInterval,
                              kMostInterval);
}

}  // namespace knapweedroad
