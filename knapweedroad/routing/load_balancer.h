// An entry host's knowledge of targets: what control hosts tell, what it has
// seen itself, and from both the choice of one for an attempt.
//
//   LoadBalancer book({.zone = zone});
//   book.Learn(record, now);
//   auto target = book.Pick(service, tried, now);
//   book.OnSent(*target, now);
//   book.OnAnswered(*target, latency, load, now);

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

// A change of what this host believes of a target, for the log.
struct TargetHealthChange {
  TargetId target;
  // "ejected", "restored", "gone" or "cold".
  std::string_view health;
  std::string_view cause;
  // How long it had been silent, or stays cold; zero where it doesn't apply.
  Duration duration{};
};

struct LoadBalancerOptions {
  HostId self;
  ZoneId zone;
  // Bound on what a cold target gets in a second from all hosts together:
  // its cold rate times the factor, and the slack.
  double cold_burst_factor = 1.5;
  double cold_slack = 5;
  uint64_t seed = 1;
  // When this host began to send.
  TimePoint started;
  // Told of each change of health; may be absent.
  std::function<void(const TargetHealthChange&)> on_health_change;
  // Told of each attempt's outcome, to be shared with other hosts, and whether
  // it was a failure or took far longer than usual; may be absent.
  std::function<void(const TargetOutcomes&, bool is_failed_or_slow)> on_outcome;
  // Whether this host holds an idle connection to the target; absent: yes.
  std::function<bool(const TargetId&)> has_idle_connection;
};

// What a health question showed.
struct ProbeResult {
  // Nothing came: refused, reset or silent.
  bool is_reachable = false;
  // A connection could be had, and ended without an answer.
  bool is_inconclusive = false;
  // Another target answered at the address.
  bool is_other_target = false;
  bool is_healthy = false;
  Duration cold_left{};
};

struct DueProbe {
  TargetId target;
  Endpoint address;
  std::string health_path;
};

class LoadBalancer {
 public:
  explicit LoadBalancer(LoadBalancerOptions options);

  // News of a target; older knowledge than is held changes nothing.
  void UpdateTarget(const TargetRecord& record, TimePoint now);

  // What is in force: caps and cold rates of services.
  void SetRouting(std::shared_ptr<const RouteTable> routing);
  void SetEvacuatedZones(const std::vector<ZoneId>& zones);
  // How services with a roll-out divide their requests between versions;
  // replaces all that was set before. Of another service only the version of
  // the targets that were there first is used, until they have all left.
  void SetVersionSplits(std::unordered_map<ServiceId, VersionSplit> next);
  // All entry hosts, this one among them: they share what a target bears.
  void SetEntryHosts(std::vector<HostId> hosts, TimePoint now) {
    this->connection_share.SetHosts(std::move(hosts), now);
  }
  // What all hosts of the zone together see of targets, as one control host
  // tells it; replaces what it told before. Nothing: that still holds.
  void UpdateOutliers(const HostId& control_host,
                      std::optional<std::vector<TargetOutlier>> outliers,
                      TimePoint now);
  // Drops what control hosts that no longer reply have told. Called every few
  // hundred milliseconds.
  void ExpireOutliers(TimePoint now);
  // Drops targets that have been silent for so long that control hosts have
  // forgotten them.
  void RemoveSilentTargets(TimePoint now);
  // How many share it, at the most, as far as known.
  size_t entry_host_count() const {
    return this->connection_share.host_count();
  }

  // The target of the service that promises the soonest answer, none of
  // `tried`; nothing if none can take a request now.
  // Targets of `near_zones` count as little farther than those of the own
  // zone, the first of them as the nearest.
  std::optional<TargetId> Pick(const ServiceId& service,
                               std::span<const TargetId> tried,
                               TimePoint now,
                               std::span<const ZoneId> preferred_zones = {});

  // Whether some target of the service, none of `tried`, may take requests, now
  // or as soon as one that runs has ended.
  bool IsServed(const ServiceId& service,
                TimePoint now,
                std::span<const TargetId> tried = {}) const;

  // The same by targets of this host's own zone alone.
  bool IsServedInZone(const ServiceId& service, TimePoint now) const;

  TargetCounts CountTargets(const ServiceId& service, TimePoint now) const;

  // Whether this zone seems cut off, by what targets of others answer.
  ZoneReachability& reachability() { return this->zone_reachability; }
  // A control host of another zone has answered, or a target.
  void OnOtherZoneAnswered(TimePoint now);

  // Whether connections are to be closed after use, so that other hosts find
  // places at the targets.
  bool ShouldCloseConnections(TimePoint now) const;

  // Null once it is gone.
  const TargetRecord* Find(const TargetId& id) const;

  // Null where no further request may go to it now.
  const TargetRecord* FindAvailable(const TargetId& id, TimePoint now) const;

  // Outcomes. Each attempt is OnSent() once, then one of the others once.
  void OnSent(const TargetId& id, TimePoint now);
  void OnAnswered(const TargetId& id,
                  Duration latency,
                  const std::optional<TargetLoad>& load,
                  TimePoint now);
  // It refused, as full, and ran nothing.
  void OnDeclined(const TargetId& id,
                  const std::optional<TargetLoad>& load,
                  TimePoint now);
  // It answered with a failure of its own.
  void OnFailed(const TargetId& id, TimePoint now);
  // The connection ended in the middle, or bytes came that are no answer.
  void OnBroken(const TargetId& id, TimePoint now);
  // It closed a new connection before anything was sent: it has too many.
  void OnConnectionRejected(const TargetId& id, TimePoint now);
  // No connection could be had.
  void OnUnreachable(const TargetId& id, TimePoint now);
  // Nothing came in all the time it was given.
  void OnUnresponsive(const TargetId& id, TimePoint now);
  // Another target answers at its address.
  void OnOtherTargetAnswered(const TargetId& id, TimePoint now);
  // The attempt was given up `waited` after it was sent.
  void OnAbandoned(const TargetId& id, Duration waited, TimePoint now);
  // An idle connection was closed from the other side, unannounced.
  void OnIdleClosed(const TargetId& id, TimePoint now);

  // Stops using targets that have left attempts unanswered for long while
  // nothing came from them. Not called after this process stood still.
  void EjectUnresponsive(TimePoint now);

  // Targets to ask for their health now; each is then due again after a
  // while. Asked before new requests go to a target that has failed.
  std::vector<DueProbe> DueProbes(TimePoint now);
  void OnProbeResult(const TargetId& id,
                     const ProbeResult& result,
                     TimePoint now);

 private:
  BalancedTarget* Lookup(const TargetId& id);
  const BalancedTarget* Lookup(const TargetId& id) const;
  void RemoveTarget(const TargetId& id);
  bool IsUsable(const BalancedTarget& target, TimePoint now) const;
  static bool IsAllowedVersion(const BalancedTarget& target);
  // Chooses the version of a service without a roll-out.
  static void ChooseVersion(BalancedService& service, TimePoint now);
  bool IsCold(const BalancedTarget& target, TimePoint now) const;
  bool IsReady(const BalancedTarget& target, TimePoint now) const;
  bool MaySend(const BalancedTarget& target, TimePoint now) const;
  bool MaySendWhileCold(const BalancedTarget& target, TimePoint now) const;
  bool IsInSubset(const BalancedTarget& target) const;
  // The service, with what is configured of it.
  BalancedService& GetOrAddService(const ServiceId& id);
  void ApplyConfig(const ServiceId& id, BalancedService& service) const;
  size_t ConnectionCap(const BalancedTarget& target, TimePoint now) const;
  double EstimateCost(const BalancedTarget& target,
                      std::span<const ZoneId> preferred_zones,
                      TimePoint now);
  double ZoneFactor(const BalancedTarget& target,
                    std::span<const ZoneId> preferred_zones) const;
  // Which of the two versions of a split an attempt goes to by preference.
  bool DrawCandidate(const VersionSplit& split, bool is_first);
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
  // Smoothed latencies take the value in, and `seen` with it is shared.
  void RecordLatency(BalancedTarget& target,
                     double latency_ns,
                     double weight,
                     TargetOutcomes outcome,
                     TimePoint now);
  Duration ProbeInterval(const BalancedTarget& target) const;

  LoadBalancerOptions options;
  std::unordered_map<TargetId, BalancedTarget> targets;
  // Targets and services refer to each other; neither moves.
  std::unordered_map<ServiceId, BalancedService> services;
  std::shared_ptr<const RouteTable> routing;
  std::set<ZoneId> evacuated_zones;
  std::unordered_map<ServiceId, VersionSplit> version_splits;
  OutlierLists outliers;
  ConnectionShare connection_share;
  ZoneReachability zone_reachability;
  // Until then targets are taken to be short of connections.
  TimePoint connections_scarce_until;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LOAD_BALANCER_H_
