#include "knapweedroad/edge/request_gathers.h"

#include <algorithm>
#include <iterator>
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
namespace {

// A target closes connections that idle for much longer. A host that uses a
// connection less often than this may as well let others use theirs.
constexpr Duration kMaxConnectionIdle = std::chrono::seconds(10);

}  // namespace

// Each scatter uses one of the connections that this host would keep to the
// targets of a shard.
bool ShouldUseCoordinators(const EntryParts& parts,
                           const ServiceId& service,
                           TimePoint now) {
  const size_t connections =
      std::min(parts.balancer.SubsetSize(service), RecentRequests::kMaxCount);
  return parts.recent_scatters.CountSince(now - kMaxConnectionIdle) <
         connections;
}

RequestGathers::RequestGathers(const RequestGathersOptions& options,
                               TimePoint now)
    : parts(options.parts),
      route(options.route),
      memory(options.memory),
      services(options.services),
      request_bytes(options.request.path.size() + options.request.host.size() +
                    options.request.header.size() + options.request.id.size()) {
  if (!this->route.is_scatter) {
    return;
  }
  this->zones = this->parts.relays.AvailableZones(now);
  if (ShouldUseCoordinators(this->parts, this->services.front(), now)) {
    this->slices = this->parts.coordinators.SliceCount(this->services.size());
  }
  this->parts.recent_scatters.Add(now);
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
           {.parts = count,
            .shards = this->services.size(),
            .top_records = top})});
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

std::vector<AttemptStart> RequestGathers::TakeStartsIn(
    const ZoneId& zone,
    std::vector<AttemptStart>& starts) const {
  const auto taken_begin = std::stable_partition(
      starts.begin(), starts.end(), [&](const AttemptStart& start) {
        const TargetRecord* const record =
            this->parts.balancer.Find(start.target);
        return record == nullptr || record->zone != zone;
      });
  std::vector<AttemptStart> taken(taken_begin, starts.end());
  starts.erase(taken_begin, starts.end());
  return taken;
}

std::optional<EntryHostRecord> RequestGathers::ChooseCoordinator(
    const ZoneId& zone,
    size_t slice,
    TimePoint now) {
  const RelayChoice& relays = this->parts.relays;
  const std::span<const EntryHostRecord> hosts =
      this->parts.coordinators.HostsOf(zone, slice, this->slices);
  if (hosts.empty()) {
    return std::nullopt;
  }
  const size_t preferred =
      this->parts.coordinators.PreferredIndex(slice, hosts.size());
  const EntryHostRecord* best = nullptr;
  for (size_t i = 0; i < hosts.size(); ++i) {
    const EntryHostRecord& host = hosts[(preferred + i) % hosts.size()];
    if (std::ranges::find(this->used, host.host) != this->used.end()) {
      continue;
    }
    if (host.host == this->parts.self) {
      return host;
    }
    const bool is_better =
        best == nullptr ||
        relays.CallsInFlight(host.host) < relays.CallsInFlight(best->host);
    if (is_better && relays.IsAvailable(host.host, now)) {
      best = &host;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::vector<AttemptStart> RequestGathers::AddCoordinatedGroups(
    const ZoneId& zone,
    std::vector<AttemptStart> starts,
    bool may_merge,
    TimePoint now,
    std::vector<GatherGroup>& groups) {
  std::vector<std::vector<AttemptStart>> by_slice(this->slices);
  for (AttemptStart& start : starts) {
    const size_t slice =
        start.service_index * this->slices / this->services.size();
    by_slice[slice].push_back(std::move(start));
  }
  std::vector<AttemptStart> own;
  for (size_t slice = 0; slice < by_slice.size(); ++slice) {
    if (by_slice[slice].empty()) {
      continue;
    }
    const auto coordinator = this->ChooseCoordinator(zone, slice, now);
    if (!coordinator || coordinator->host == this->parts.self) {
      std::ranges::move(by_slice[slice], std::back_inserter(own));
      continue;
    }
    this->used.push_back(coordinator->host);
    this->AddGroups(std::move(by_slice[slice]), *coordinator, may_merge,
                    groups);
  }
  return own;
}

void RequestGathers::AddRelayedGroups(const ZoneId& zone,
                                      std::vector<AttemptStart>& starts,
                                      bool may_merge,
                                      TimePoint now,
                                      std::vector<GatherGroup>& groups) {
  std::vector<AttemptStart> there = this->TakeStartsIn(zone, starts);
  const auto relay =
      !there.empty() && this->IsCheaper(may_merge ? there.size() : 1)
          ? this->parts.relays.Choose(zone, this->used, now)
          : std::nullopt;
  if (!relay) {
    std::ranges::move(there, std::back_inserter(starts));
    return;
  }
  if (std::ranges::find(this->used, relay->host) == this->used.end()) {
    this->used.push_back(relay->host);
  }
  this->AddGroups(std::move(there), *relay, may_merge, groups);
}

std::vector<GatherGroup> RequestGathers::Split(
    std::vector<AttemptStart>& starts,
    bool may_merge,
    TimePoint now) {
  std::vector<GatherGroup> groups;
  if (starts.empty()) {
    return groups;
  }
  std::vector<AttemptStart> own;
  if (this->uses_coordinators()) {
    for (const ZoneId& zone : this->parts.coordinators.Zones(this->slices)) {
      std::ranges::move(
          this->AddCoordinatedGroups(zone, this->TakeStartsIn(zone, starts),
                                     may_merge, now, groups),
          std::back_inserter(own));
    }
  }
  for (const ZoneId& zone : this->zones) {
    this->AddRelayedGroups(zone, starts, may_merge, now, groups);
  }
  std::ranges::move(own, std::back_inserter(starts));
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
