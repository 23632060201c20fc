#include "knapweedroad/edge/target_news.h"

#include <cstddef>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

constexpr size_t kMostTargetLines = 16;

bool IsChange(const TargetRecord* known, const TargetRecord& told) {
  return known == nullptr || known->phase != told.phase ||
         known->started_ms != told.started_ms ||
         told.cold_left > Duration::zero();
}

void LogTarget(const HostId& from, const TargetRecord& record) {
  LogLine("target_told")
      .Add("target", record.id)
      .Add("service", record.service)
      .Add("zone", record.zone)
      .Add("phase", static_cast<int>(record.phase))
      .Add("cold_ms",
           std::chrono::floor<std::chrono::milliseconds>(record.cold_left)
               .count())
      .Add("sequence", record.sequence)
      .Add("from", from)
      .Info();
}

}  // namespace

void LearnTargets(LoadBalancer& balancer,
                  const HostId& from,
                  const WatchReply& reply,
                  TimePoint now) {
  const bool is_bulk = reply.targets.size() > kMostTargetLines;
  if (is_bulk) {
    LogLine("targets_told")
        .Add("count", reply.targets.size())
        .Add("revision", reply.revision)
        .Add("from", from)
        .Info();
  }
  for (const TargetRecord& record : reply.targets) {
    const bool is_change = IsChange(balancer.Find(record.id), record);
    balancer.UpdateTarget(record, now);
    if (is_change && !is_bulk) {
      LogTarget(from, record);
    }
  }
}

}  // namespace knapweedroad
