// Chooses the target for each attempt of an entry host, from the target records
// that control hosts send, the outcomes of this host's attempts, and the
// outcomes that other hosts share.
//
//   LoadBalancer balancer({.self = host, .zone = zone});
//   balancer.SetRouting(routing);
//   balancer.UpdateTarget(record, now);
//   if (auto target = balancer.Pick(service, tried, now)) {
//     balancer.OnSent(*target, now);
//     ...
//     balancer.OnAnswered(*target, latency, load, now);
//   }

#ifndef KNAPWEEDROAD_ROUTING_LOAD_BALANCER_H_
#define KNAPWEEDROAD_ROUTING_LOAD_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/routing/balanced_target.h"
#include "knapweedroad/routing/connection_share.h"
#include "knapweedroad/routing/outlier_lists.h"
#include "knapweedroad/routing/target_counts.h"
#include "knapweedroad/routing/target_load.h"
#include "knapweedroad/routing/zone_reachability.h"

namespace knapweedroad {

class RouteTable;

// A change of a target's health as seen by this host, for the log.
struct TargetHealthChange {
  TargetId target;
  // "ejected", "restored", "gone" or "cold".
  std::string_view health;
  std::string_view cause;
  // If "ejected", the age of the oldest unanswered attempt, or zero if there is
  // none. If "cold", how much longer the target stays cold. Otherwise zero.
  Duration duration{};
};

struct LoadBalancerOptions {
  // This host and its zone.
  HostId self;
  ZoneId zone;
  // A cold target gets at most its service's cold rate times
  // `cold_burst_factor`, plus `cold_slack`, in requests per second from all
  // entry hosts together.
  double cold_burst_factor = 1.5;
  double cold_slack = 5;
  uint64_t seed = 1;
  // When this process started to send requests.
  TimePoint started;
  // Called on each change of a target's health; may be empty.
  std::function<void(const TargetHealthChange&)> on_health_change;
  // Called with the outcome of each attempt that other hosts should consider,
  // and whether it failed or took far longer than usual; may be empty.
  std::function<void(const TargetOutcomes&, bool is_failed_or_slow)> on_outcome;
  // Returns whether this host has an idle connection to the target. If empty,
  // every target is treated as if it had one.
  std::function<bool(const TargetId&)> has_idle_connection;
};

// The result of a health probe.
struct ProbeResult {
  // The probe was answered. Otherwise the connection was refused or reset, or
  // the probe timed out.
  bool is_reachable = false;
  // A connection was established but ended without an answer, which shows
  // neither that the target is healthy nor that it isn't.
  bool is_inconclusive = false;
  // A different target answered at the address.
  bool is_other_target = false;
  bool is_healthy = false;
  // How much longer the target stays cold.
  Duration cold_left{};
  std::optional<TargetLoad> load;
};

// How a target is to be chosen.
struct PickPreferences {
  // The extra cost of other zones is lower for these, and lowest for the first.
  std::span<const ZoneId> zones;
  // Another host sends the attempt, so this host's connections don't count.
  bool is_sent_by_other_host = false;
};

// A health probe to send.
struct DueProbe {
  TargetId target;
  Endpoint address;
  std::string health_path;
};

// Keeps the state of all targets that control hosts report, and picks the one
// with the lowest expected latency. Targets that fail or don't answer are
// ejected: they get no requests, except occasional trials, until a health probe
// or an attempt succeeds. Limits the attempts in flight to each target, and
// shares connection limits and the rate for cold targets with the other entry
// hosts. A target is cold for some time after its start, when it can serve only
// a few requests. Not thread-safe.
class LoadBalancer {
 public:
  explicit LoadBalancer(LoadBalancerOptions options);

  // Stores a target's record, unless the stored one is as new or newer.
  void UpdateTarget(const TargetRecord& record, TimePoint now);

  // Sets the routing table in force, which has the connection limit, cold rate
  // and health path of each service.
  void SetRouting(std::shared_ptr<const RouteTable> next);
  // Replaces the list of zones out of service, whose targets get no requests.
  void SetZonesOutOfService(const std::vector<ZoneId>& zones);
  // Replaces the version splits of services that have a roll-out. For every
  // other service only one version is used, that of its earliest targets, until
  // none of them is left.
  void SetVersionSplits(std::unordered_map<ServiceId, VersionSplit> next);
  // Replaces the list of all entry hosts, including this one, which share the
  // connections that each target accepts.
  void SetEntryHosts(std::vector<HostId> hosts, TimePoint now) {
    this->connection_share.SetHosts(std::move(hosts), now);
  }
  // Records a reply of a control host about targets with unusually many
  // failures or high latency, as measured by all hosts of the zone. `outliers`
  // replaces its previous list; if absent, the previous list stays valid.
  void UpdateOutliers(const HostId& control_host,
                      std::optional<std::vector<TargetOutlier>> outliers,
                      TimePoint now);
  // Drops the outlier lists of control hosts that have stopped replying. Must
  // be called every few hundred milliseconds.
  void ExpireOutliers(TimePoint now);
  // Removes targets whose heartbeats stopped so long ago that control hosts
  // have removed them too. Must be called periodically.
  void RemoveSilentTargets(TimePoint now);
  // Returns the number of entry hosts that may hold connections to a target,
  // including hosts that were removed from the list a short while ago.
  size_t entry_host_count() const {
    return this->connection_share.host_count();
  }

  // Returns the target of the service with the lowest expected latency, other
  // than those in `tried`, or nothing if no target can take a request now. The
  // caller sends an attempt to the target and calls OnSent().
  // Targets of other zones cost more than those of this host's zone.
  std::optional<TargetId> Pick(const ServiceId& service,
                               std::span<const TargetId> tried,
                               TimePoint now,
                               const PickPreferences& preferences = {});

  // Returns whether the service has a target, other than those in `tried`, that
  // is usable, not ejected and not cold. It may be at its limit of attempts in
  // flight, and then can take a request as soon as one of them has ended.
  bool IsServed(const ServiceId& service,
                TimePoint now,
                std::span<const TargetId> tried = {}) const;

  // Like IsServed(), but considers only the targets of this host's zone.
  bool IsServedInZone(const ServiceId& service, TimePoint now) const;

  // Returns the service's targets in the zone that are usable, not ejected and
  // not cold. The pointers are valid as that of Find().
  std::vector<const TargetRecord*> ReadyTargetsInZone(const ServiceId& service,
                                                      const ZoneId& zone,
                                                      TimePoint now) const;

  // Returns the number of the service's targets to which this host keeps
  // connections; zero if the service has no target.
  size_t SubsetSize(const ServiceId& service) const;

  TargetCounts CountTargets(const ServiceId& service, TimePoint now) const;

  // Detects whether this zone is cut off from the other zones.
  ZoneReachability& reachability() { return this->zone_reachability; }
  // Records that a control host or a target of another zone has answered.
  void OnOtherZoneAnswered(TimePoint now);

  // Returns whether the caller should close connections after each request, so
  // that other hosts can connect to the targets. True for a few seconds after a
  // target rejected a connection, if this process started shortly before.
  bool ShouldCloseConnections(TimePoint now) const;

  // Returns the target's record, or null if there is none. The pointer is valid
  // until the next call of UpdateTarget() or RemoveSilentTargets().
  const TargetRecord* Find(const TargetId& id) const;

  // Like Find(), but also returns null if the target can't take another request
  // now or is cold.
  const TargetRecord* FindAvailable(const TargetId& id, TimePoint now) const;

  // Outcomes of attempts. The caller calls OnSent() once for each attempt that
  // it sends, and then exactly one of the functions from OnAnswered() to
  // OnAbandoned(), except OnUnresponsive(). Calls for an unknown target have no
  // effect.
  void OnSent(const TargetId& id, TimePoint now);
  // Records a valid answer, and the load that the target reported with it.
  void OnAnswered(const TargetId& id,
                  Duration latency,
                  const std::optional<TargetLoad>& load,
                  TimePoint now);
  // Records that the target declined the request because it is full, and did
  // not run it.
  void OnDeclined(const TargetId& id,
                  const std::optional<TargetLoad>& load,
                  TimePoint now);
  // Records that the target answered with an error of its own.
  void OnFailed(const TargetId& id, TimePoint now);
  // Records that the connection ended before the answer was complete, or that
  // the answer was malformed.
  void OnBroken(const TargetId& id, TimePoint now);
  // Records that the target closed a new connection before anything was sent,
  // because it has too many connections.
  void OnConnectionRejected(const TargetId& id, TimePoint now);
  // Records that no connection could be established, and ejects the target.
  void OnUnreachable(const TargetId& id, TimePoint now);
  // Ejects a target that has not answered for too long. Unlike the others it
  // doesn't end an attempt, whose outcome is recorded separately.
  void OnUnresponsive(const TargetId& id, TimePoint now);
  // Records that a different target answered at the target's address. The
  // target then gets no requests until a newer record of it arrives.
  void OnOtherTargetAnswered(const TargetId& id, TimePoint now);
  // Records that the attempt was abandoned `waited` after it was sent.
  void OnAbandoned(const TargetId& id, Duration waited, TimePoint now);

  // Records that the target closed an idle connection, and makes a health probe
  // due.
  void OnIdleClosed(const TargetId& id, TimePoint now);

  // Returns the number of targets that EjectUnresponsive() and DueProbes()
  // examine: those with attempts in flight, ejected, or to be probed.
  size_t active_target_count() const { return this->active_targets.size(); }

  // Ejects targets that have left attempts unanswered for long and have
  // answered nothing meanwhile. Must be called periodically, but not directly
  // after this process was suspended: all attempts would seem unanswered.
  void EjectUnresponsive(TimePoint now);

  // Returns the health probes that are due, and schedules the next one for each
  // of these targets. The caller sends them and calls OnProbeResult(). Targets
  // that have failed get a probe before they get new requests.
  std::vector<DueProbe> DueProbes(TimePoint now);
  void OnProbeResult(const TargetId& id,
                     const ProbeResult& result,
                     TimePoint now);

 private:
  // Returns null if there is no such target.
  BalancedTarget* Lookup(const TargetId& id);
  const BalancedTarget* Lookup(const TargetId& id) const;
  void RemoveTarget(const TargetId& id);
  // Whether requests may be sent to the target by its phase, zone and version.
  bool IsUsable(const BalancedTarget& target, TimePoint now) const;
  static bool IsAllowedVersion(const BalancedTarget& target);
  // Sets the version in use, which applies to a service without a roll-out.
  static void ChooseVersion(BalancedService& service, TimePoint now);
  bool IsCold(const BalancedTarget& target, TimePoint now) const;
  // Whether the target is usable, not ejected and not cold.
  bool IsReady(const BalancedTarget& target, TimePoint now) const;
  // Whether an attempt may be sent now, if only as a trial.
  bool MaySend(const BalancedTarget& target, TimePoint now) const;
  // Whether an attempt may be sent now to a target that is cold.
  bool MaySendWhileCold(BalancedTarget& target, TimePoint now) const;
  // Whether this host is among those that may send to the target while it is
  // cold.
  bool IsColdSender(BalancedTarget& target) const;
  // The position of a target in this host's order of a service's targets: those
  // of its own zone come first.
  using SubsetKey = std::pair<bool, uint64_t>;
  SubsetKey SubsetKeyOf(const BalancedTarget& target) const;
  // Returns the last target of the service to which this host keeps
  // connections; absent if it keeps connections to all of them.
  std::optional<SubsetKey> SubsetEnd(const BalancedService& service);
  // Returns the service, which is created with its configuration if needed.
  BalancedService& GetOrAddService(const ServiceId& id);
  // Copies the service's routing configuration and version split.
  void ApplyConfig(const ServiceId& id, BalancedService& service) const;
  // Returns how many connections this host may hold to the target.
  size_t ConnectionCap(const BalancedTarget& target, TimePoint now) const;
  // What the costs of all targets of a service depend on in one choice.
  struct PickContext {
    std::span<const TargetId> tried;
    std::span<const ZoneId> preferred_zones;
    std::optional<SubsetKey> subset_end;
    bool are_connections_scarce = false;
    bool are_connections_shared = false;
    TimePoint now;
  };
  PickContext MakePickContext(const BalancedService& service,
                              std::span<const TargetId> tried,
                              const PickPreferences& preferences,
                              TimePoint now);
  // Returns null if no target can take a request.
  BalancedTarget* FindCheapest(const BalancedService& service,
                               bool avoids_candidate,
                               const PickContext& pick);
  double EstimateCost(const BalancedTarget& target,
                      double zone_factor,
                      const PickContext& pick);
  double ZoneFactor(const BalancedTarget& target,
                    std::span<const ZoneId> preferred_zones) const;
  // Returns whether the attempt should go to the candidate version: at random
  // for first attempts, and always if the split does not allow the stable
  // version.
  bool ShouldPreferCandidate(const VersionSplit& split, bool is_first_attempt);
  // Returns a random target of the candidate version, or null if none can take
  // a request.
  BalancedTarget* PickCandidate(const BalancedService& service, TimePoint now);
  void EndAttempt(BalancedTarget& target);
  void RecordLoad(BalancedTarget& target,
                  const std::optional<TargetLoad>& load,
                  TimePoint now);
  bool IsInOtherZone(const BalancedTarget& target) const;
  void ReportOutcome(const BalancedTarget& target, TargetOutcomes outcome);
  void ApplyOutliers();
  void Eject(BalancedTarget& target, std::string_view cause, TimePoint now);
  void Restore(BalancedTarget& target, std::string_view cause);
  void ReportHealthChange(const BalancedTarget& target,
                          std::string_view health,
                          std::string_view cause,
                          Duration duration = Duration::zero()) const;
  // Returns the latency that an answer would have had at the usual speed of the
  // target's machine, and compares it with what the target reported.
  static double LatencyAtUsualSpeed(BalancedTarget& target,
                                    double latency_ns,
                                    TimePoint now);
  // Adds the latency to the smoothed values of the target and its service, and
  // reports `outcome` together with it.
  void RecordLatency(BalancedTarget& target,
                     double latency_ns,
                     double weight,
                     TargetOutcomes outcome,
                     TimePoint now);
  Duration ProbeInterval(const BalancedTarget& target) const;

  LoadBalancerOptions options;
  // Targets and services point to each other, so their addresses must not
  // change.
  std::unordered_map<TargetId, BalancedTarget> targets;
  std::unordered_map<ServiceId, BalancedService> services;
  std::shared_ptr<const RouteTable> routing;
  std::set<ZoneId> zones_out_of_service;
  std::unordered_map<ServiceId, VersionSplit> version_splits;
  // Periodic work examines only these, as most of many targets are idle. Those
  // that no longer qualify are removed by EjectUnresponsive().
  std::unordered_set<BalancedTarget*> active_targets;
  // Targets whose record has the phase TargetPhase::kSilent.
  std::unordered_set<BalancedTarget*> silent_targets;
  OutlierLists outliers;
  // The targets that `outliers` named when it was last applied.
  std::vector<TargetId> applied_outliers;
  ConnectionShare connection_share;
  // Used by SubsetEnd() only; kept to avoid allocations.
  std::vector<SubsetKey> subset_keys;
  ZoneReachability zone_reachability;
  // Before this time targets are assumed to have few free connections.
  TimePoint connections_scarce_until;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LOAD_BALANCER_H_
