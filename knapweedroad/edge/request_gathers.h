// Decides which parts of one caller's request other hosts gather, and fetches
// records that they left out of their replies.
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
  // The route's shards; not empty.
  std::span<const ServiceId> services;
};

// Attempts that one host is to make.
struct GatherGroup {
  EntryHostRecord relay;
  std::vector<AttemptStart> starts;
};

// Returns whether this host sees too few scatters over services like this one
// to keep its own connections to their targets in use, so that the zones'
// coordinators should gather for it.
bool ShouldUseCoordinators(const EntryParts& parts,
                           const ServiceId& service,
                           TimePoint now);

class RequestGathers {
 public:
  RequestGathers(const RequestGathersOptions& options, TimePoint now);

  // Returns the other zones whose hosts may gather, the preferred one first.
  std::span<const ZoneId> near_zones() const { return this->zones; }

  // Whether the zones' coordinators gather wherever there are any, because this
  // host sees too few requests to keep its own connections in use.
  bool uses_coordinators() const { return this->slices > 0; }

  // Takes out of `starts` what goes through other hosts: attempts that the
  // zone's coordinators make, and attempts on targets of another zone that
  // together cross between zones cheaper than by themselves.
  // Unless they `may_merge` each is a group of its own: records of a shard that
  // may be answered twice can't be taken out of merged ones.
  std::vector<GatherGroup> Split(std::vector<AttemptStart>& starts,
                                 bool may_merge,
                                 TimePoint now);

  // Stores a reference to records that were left out of a reply. Returns their
  // TargetAnswer::withheld_id.
  size_t Hold(HeldRecords held);

  // Returns whether records that were left out may belong to the answer. If so,
  // fetches them into `end` and then calls `done` once, with false if they
  // can't be fetched.
  bool Complete(const std::shared_ptr<RunEnd>& end,
                std::function<void(bool is_whole)> done);

 private:
  struct Completion;

  bool IsCheaper(size_t parts) const;
  // Takes the attempts on targets of the zone out of `starts`.
  std::vector<AttemptStart> TakeStartsIn(
      const ZoneId& zone,
      std::vector<AttemptStart>& starts) const;
  // Groups attempts on targets of one zone by the coordinators that make them.
  // Returns those that this host makes itself.
  std::vector<AttemptStart> AddCoordinatedGroups(
      const ZoneId& zone,
      std::vector<AttemptStart> starts,
      bool may_merge,
      TimePoint now,
      std::vector<GatherGroup>& groups);
  // Returns an available coordinator that this request has not called yet; the
  // result may be this host. Returns nothing if there is none.
  std::optional<EntryHostRecord> ChooseCoordinator(const ZoneId& zone,
                                                   size_t slice,
                                                   TimePoint now);
  // Groups the attempts in `starts` on targets of the zone for a relay, if that
  // is cheaper.
  void AddRelayedGroups(const ZoneId& zone,
                        std::vector<AttemptStart>& starts,
                        bool may_merge,
                        TimePoint now,
                        std::vector<GatherGroup>& groups);
  void AddGroups(std::vector<AttemptStart> starts,
                 const EntryHostRecord& relay,
                 bool may_merge,
                 std::vector<GatherGroup>& groups) const;
  std::vector<TargetAnswer*> PartsThatNeed(RunEnd& end);

  EntryParts& parts;
  const RouteConfig& route;
  RouteMemory& memory;
  std::span<const ServiceId> services;
  size_t request_bytes = 0;
  // Of the route's shards, by which coordinators divide them; zero if this host
  // doesn't use coordinators.
  size_t slices = 0;
  std::vector<ZoneId> zones;
  std::vector<HeldRecords> held;
  // Hosts that were called for the request.
  std::vector<HostId> used;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_GATHERS_H_
