#include "knapweedroad/edge/target_news.h"

#include <chrono>
#include <cstddef>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/registry/target_record_check.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

// Targets that get a line of their own within a second.
constexpr size_t kMaxTargetLines = 16;
constexpr Duration kLinePeriod = std::chrono::seconds(1);

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

void LogSummary(const HostId& from, const WatchReply& reply, size_t count) {
  LogLine("targets_told")
      .Add("count", count)
      .Add("revision", reply.revision)
      .Add("from", from)
      .Info();
}

}  // namespace

void LearnTargets(LoadBalancer& balancer,
                  const HostId& from,
                  const WatchReply& reply,
                  TargetLineCount& lines,
                  TimePoint now) {
  if (now - lines.second_began >= kLinePeriod) {
    if (lines.summarized > 0) {
      LogSummary(from, reply, lines.summarized);
    }
    lines = {.second_began = now};
  }
  for (const TargetRecord& record : reply.targets) {
    if (!IsUsableRecord(record, from.str())) {
      continue;
    }
    const bool is_change = IsChange(balancer.Find(record.id), record);
    balancer.UpdateTarget(record, now);
    if (!is_change) {
      continue;
    }
    if (lines.targets < kMaxTargetLines) {
      ++lines.targets;
      LogTarget(from, record);
    } else {
      ++lines.summarized;
    }
  }
}

}  // namespace knapweedroad
