#include "knapweedroad/edge/request_gathers.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/run_plan.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/record_limit.h"
#include "knapweedroad/routing/record_merge.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {

RequestGathers::RequestGathers(const RequestGathersOptions& options,
                               TimePoint now)
    : parts(options.parts),
      route(options.route),
      memory(options.memory),
      shards(options.shards),
      request_bytes(options.request.path.size() + options.request.host.size() +
                    options.request.header.size() + options.request.id.size()) {
  if (this->route.is_scatter) {
    this->zones = this->parts.relays.AvailableZones(now);
  }
}

bool RequestGathers::IsCheaper(size_t count) const {
  const size_t top = this->route.top_records;
  const double part_bytes = this->memory.part_bytes > 0
                                ? this->memory.part_bytes
                                : static_cast<double>(top * kRecordBytes);
  return IsGatheringCheaper(
      {.parts = count,
       .part_bytes = part_bytes,
       .request_bytes = this->request_bytes,
       .requested_records = this->memory.record_cut.RecordsToRequest(
           {.parts = count, .shards = this->shards, .top_records = top})});
}

void RequestGathers::AddGroups(std::vector<AttemptStart> starts,
                               const EntryHostRecord& relay,
                               bool may_merge,
                               std::vector<GatherGroup>& groups) const {
  if (may_merge) {
    groups.push_back({.relay = relay, .starts = std::move(starts)});
    return;
  }
  for (AttemptStart& start : starts) {
    GatherGroup& group = groups.emplace_back(GatherGroup{.relay = relay});
    group.starts.push_back(std::move(start));
  }
}

std::vector<GatherGroup> RequestGathers::Split(
    std::vector<AttemptStart>& starts,
    bool may_merge,
    TimePoint now) {
  std::vector<GatherGroup> groups;
  for (const ZoneId& zone : this->zones) {
    std::vector<AttemptStart> there;
    for (const AttemptStart& start : starts) {
      const TargetRecord* const record =
          this->parts.balancer.Find(start.target);
      if (record != nullptr && record->zone == zone) {
        there.push_back(start);
      }
    }
    if (there.empty() || !this->IsCheaper(may_merge ? there.size() : 1)) {
      continue;
    }
    const auto relay = this->parts.relays.Choose(zone, this->used, now);
    if (!relay) {
      continue;
    }
    if (std::ranges::find(this->used, relay->host) == this->used.end()) {
      this->used.push_back(relay->host);
    }
    std::erase_if(starts, [&](const AttemptStart& start) {
      return std::ranges::find(there, start.attempt, &AttemptStart::attempt) !=
             there.end();
    });
    this->AddGroups(std::move(there), *relay, may_merge, groups);
  }
  return groups;
}

size_t RequestGathers::Hold(HeldRecords records) {
  if (records.count == 0) {
    return 0;
  }
  this->held.push_back(std::move(records));
  return this->held.size();
}

std::vector<TargetAnswer*> RequestGathers::PartsThatNeed(RunEnd& end) {
  std::vector<TargetAnswer*> need;
  if (this->held.empty()) {
    return need;
  }
  std::vector<std::string_view> bodies;
  for (const TargetAnswer& part : end.parts) {
    bodies.push_back(part.body);
  }
  const size_t top = this->route.top_records;
  const std::string answer = MergeRecords(bodies, top);
  for (TargetAnswer& part : end.parts) {
    if (part.withheld_id == 0) {
      continue;
    }
    const bool needs =
        MayNeedWithheld(answer, top,
                        {.sent = part.body,
                         .withheld = this->held[part.withheld_id - 1].count});
    this->memory.record_cut.OnMerged(!needs);
    if (needs) {
      need.push_back(&part);
    }
  }
  return need;
}

// Records that are asked for, until the last of them is there.
struct RequestGathers::Completion {
  size_t waiting = 0;
  bool is_whole = true;
  std::function<void(bool is_whole)> done;
};

bool RequestGathers::Complete(const std::shared_ptr<RunEnd>& end,
                              std::function<void(bool is_whole)> done) {
  const std::vector<TargetAnswer*> need = this->PartsThatNeed(*end);
  if (need.empty()) {
    return false;
  }
  const auto completion = std::make_shared<Completion>(
      Completion{.waiting = need.size(), .done = std::move(done)});
  for (TargetAnswer* const part : need) {
    this->parts.gather_links.FetchHeld(
        this->held[part->withheld_id - 1],
        [completion, end, part](const std::optional<std::string>& records) {
          completion->is_whole = completion->is_whole && records.has_value();
          part->body += records.value_or("");
          if (--completion->waiting == 0) {
            completion->done(completion->is_whole);
          }
        });
  }
  return true;
}

}  // namespace knapweedroad
