// The targets of this host's zone as it talks to them: one TargetLink for
// each, made when the target is first heard of.
//
//   TargetTable table(runtime, zone);
//   table.OnConfiguration(configuration);
//   table.OnReport(report);
//   TargetLink* link = table.Find(target);   // null where this isn't its zone

#ifndef KNAPWEEDROAD_HOST_TARGET_TABLE_H_
#define KNAPWEEDROAD_HOST_TARGET_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "knapweedroad/admission/lease_holder.h"
#include "knapweedroad/admission/target_admission.h"
#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/target/held_target.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

class Runtime;
class TargetLink;

// The longest that any attempt may run. Every host waits as long after its
// start before it grants a lease, since work of a forgotten one may still run,
// so it bounds how fast a whole deployment starts.
inline constexpr Duration kMaxWorkTime = std::chrono::seconds(3);

// What admission decided for the targets of the own zone, and what leases did.
struct DecisionCounts {
  uint64_t attempts_started = 0;
  uint64_t sheds = 0;
  uint64_t lost_connections = 0;
  uint64_t falls_to_cold = 0;
  uint64_t lease_changes = 0;
  // By `RefusalKind`.
  std::array<uint64_t, kRefusalKinds> refused{};
};

class TargetTable {
 public:
  TargetTable(Runtime& runtime, ZoneId own_zone);
  ~TargetTable();

  void OnConfiguration(std::shared_ptr<const DeploymentConfig> configuration);

  // Of a target of any zone; only those of the own zone get a link.
  void OnReport(const TargetReport& report);

  // What the lease allows; unknown targets are passed over.
  void SetShare(const TargetId& target, const TargetShare& share);

  // The link of a target whose lease this host may use now, or null.
  TargetLink* FindHeld(const TargetId& target);
  bool IsHeld(const TargetId& target) const;
  // What may run at once at a target that is held here; zero for others.
  uint32_t Limit(const TargetId& target) const;
  TargetLink* Find(const TargetId& target);

  // All targets of the own zone, for the leases.
  std::vector<LeaseTarget> LeaseTargets() const;

  // Targets without a slot by lease and with nothing running.
  std::vector<TargetId> Drained() const;

  // What this host may use now, for heartbeats.
  std::vector<HeldTarget> Held(TimePoint now, bool isolated) const;

  // Sums over all links since the start of the process.
  DecisionCounts Decisions() const;

  // The longest deadline of the configuration's fronts.
  Duration MaxDeadline() const;

 private:
  struct Entry {
    std::unique_ptr<TargetLink> link;
    TargetReport report;
    TargetShare share;
    TimePoint held_since;
    TargetAdmission::Options options;
  };

  std::optional<TargetAdmission::Options> OptionsFor(
      const FrontId& front,
      const ServiceId& service) const;
  bool ZoneIsOut() const;

  Runtime& runtime;
  ZoneId own_zone;
  std::shared_ptr<const DeploymentConfig> configuration;
  std::map<TargetId, Entry> entries;
  uint64_t lease_changes = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_TARGET_TABLE_H_
