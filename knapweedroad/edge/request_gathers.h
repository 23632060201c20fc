// Which parts of one caller's request other hosts gather, and the records that
// they hold back.
//
//   RequestGathers gathers({.parts = parts, .route = route, ...});
//   for (const GatherGroup& group : gathers.Split(starts, true, now)) ...
//   body.held = gathers.Hold(records);
//   if (gathers.Complete(end, done)) return;   // `done` is called later

#ifndef KNAPWEEDROAD_EDGE_REQUEST_GATHERS_H_
#define KNAPWEEDROAD_EDGE_REQUEST_GATHERS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {

struct CallerRequest;
struct EntryParts;
struct RouteConfig;
struct RouteMemory;

struct RequestGathersOptions {
  EntryParts& parts;
  const RouteConfig& route;
  RouteMemory& memory;
  const CallerRequest& request;
  // Of the route's shards.
  size_t shards = 0;
};

// Attempts that one host is to make.
struct GatherGroup {
  EntryHostRecord relay;
  std::vector<AttemptStart> starts;
};

class RequestGathers {
 public:
  RequestGathers(const RequestGathersOptions& options, TimePoint now);

  // Zones in which others may gather, the preferred one first.
  std::span<const ZoneId> near_zones() const { return this->zones; }

  // Takes out of `starts` what goes through other hosts: attempts on targets of
  // one zone that together cross between zones cheaper than by themselves.
  // Unless they `may_merge` each is a group of its own: records of a shard that
  // may be answered twice can't be taken out of merged ones.
  std::vector<GatherGroup> Split(std::vector<AttemptStart>& starts,
                                 bool may_merge,
                                 TimePoint now);

  // Remembers what was held back; its TargetAnswer::withheld_id.
  size_t Hold(HeldRecords held);

  // Whether some of what was held back may belong to the answer. It is then
  // asked for, and put into `end`; `done` is called once, with false where it
  // can't be had.
  bool Complete(const std::shared_ptr<RunEnd>& end,
                std::function<void(bool is_whole)> done);

 private:
  struct Completion;

  bool IsCheaper(size_t parts) const;
  void AddGroups(std::vector<AttemptStart> starts,
                 const EntryHostRecord& relay,
                 bool may_merge,
                 std::vector<GatherGroup>& groups) const;
  std::vector<TargetAnswer*> PartsThatNeed(RunEnd& end);

  EntryParts& parts;
  const RouteConfig& route;
  RouteMemory& memory;
  size_t shards = 0;
  size_t request_bytes = 0;
  std::vector<ZoneId> zones;
  std::vector<HeldRecords> held;
  // Hosts that gather for the request already.
  std::vector<HostId> used;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_GATHERS_H_
