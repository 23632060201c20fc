#include "knapweedroad/edge/target_prober.h"

#include <string>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr int kOk = 200;
// Nobody reads the body of a health answer.
constexpr size_t kMostAnswerBytes = 16 << 10;

}  // namespace

TargetProber::TargetProber(const HeaderNames& header_names,
                           LoadBalancer& balancer,
                           TargetLinks& links,
                           std::function<void(const TargetId&)> on_alive)
    : header_names(header_names),
      balancer(balancer),
      links(links),
      on_alive(std::move(on_alive)) {}

void TargetProber::Probe(TimePoint now) {
  for (const DueProbe& probe : this->balancer.DueProbes(now)) {
    this->Send(probe, now);
  }
}

void TargetProber::Send(const DueProbe& probe, TimePoint now) {
  std::string bytes = "GET " + probe.health_path +
                      " HTTP/1.1\r\nHost: " + probe.address.ip + "\r\n" +
                      this->header_names.expected_target + ": " +
                      probe.target.str() + "\r\n\r\n";
  this->links.Send({.target = probe.target,
                    .address = probe.address,
                    .bytes = [bytes = std::move(bytes)] { return bytes; },
                    .max_idle = Duration::zero(),
                    .max_answer_bytes = kMostAnswerBytes,
                    .deadline = now + kProbeTimeout},
                   [self = this->weak_from_this(),
                    target = probe.target](const TargetReply& reply) {
                     if (const auto prober = self.lock()) {
                       prober->OnReply(target, reply);
                     }
                   });
}

void TargetProber::OnReply(const TargetId& target, const TargetReply& reply) {
  const bool is_reachable = reply.kind == ReplyKind::kAnswered;
  const ProbeResult result{
      .is_reachable = is_reachable,
      .is_inconclusive = reply.kind == ReplyKind::kBroken ||
                         reply.kind == ReplyKind::kDisconnected ||
                         reply.kind == ReplyKind::kRejected,
      .is_other_target =
          is_reachable && !reply.target.empty() && reply.target != target.str(),
      .is_healthy = is_reachable && reply.answer.status == kOk,
      .cold_left = reply.cold_left.value_or(Duration::zero()),
      .load = reply.load};
  this->balancer.OnProbeResult(target, result, Runtime::Now());
  const bool is_warm = result.cold_left == Duration::zero();
  if (is_reachable && !result.is_other_target && is_warm) {
    this->on_alive(target);
  }
  LogLine("target_probed")
      .Add("target", target)
      .Add("end", ToString(reply.kind))
      .Add("status", reply.answer.status)
      .Add("other_target", result.is_other_target)
      .Info();
}

}  // namespace knapweedroad
