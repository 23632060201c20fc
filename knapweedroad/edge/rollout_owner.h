// A control host's part in roll-outs: carries on those that it owns, and takes
// over those whose owner is gone.
//
//   RolloutOwner owner({.self = self, .registry = registry, ...});
//   owner.SetRollouts(agreed_rollouts);
//   std::string reply = owner.Answer(report);
//   owner.Tick();   // ten times a second

#ifndef KNAPWEEDROAD_EDGE_ROLLOUT_OWNER_H_
#define KNAPWEEDROAD_EDGE_ROLLOUT_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_controller.h"

namespace knapweedroad {

class Runtime;
class TargetRegistry;
struct RolloutReport;
struct RolloutReportReply;

struct RolloutOwnerOptions {
  HostId self;
  ExposureBound exposure;
  // Outlives the owner.
  TargetRegistry& registry;
  // Those that have called any control host lately.
  std::function<std::vector<HostId>()> entry_hosts;
  // Control hosts in touch, this one among them, and all that are known.
  std::function<std::vector<HostId>()> live_control_hosts;
  std::function<size_t()> known_control_hosts;
  // Whether a quorum of the replicas has answered this host lately.
  std::function<bool()> has_quorum;
  // Changes the agreed roll-outs; false: not known, to be tried again. Blocks
  // the calling fiber.
  std::function<bool(
      const std::string& name,
      std::function<void(std::vector<RolloutRecord>& rollouts)> edit)>
      agree;
};

class RolloutOwner : public std::enable_shared_from_this<RolloutOwner> {
 public:
  RolloutOwner(Runtime& runtime, RolloutOwnerOptions options);

  // The agreed roll-outs, whenever they have changed.
  void SetRollouts(const std::vector<RolloutRecord>& rollouts);

  RolloutReportReply Answer(const RolloutReport& report);

  void Tick();

  // Roll-outs that this host carries on.
  size_t owned() const { return this->controllers.size(); }

 private:
  struct Reporter {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    uint64_t answers_number = 0;
  };
  struct Slots {
    size_t candidate = 0;
    size_t stable = 0;
  };

  // Whether no other control host can have taken over: this one hears most of
  // those that it knows, and a quorum answers it. The first is lost sooner; the
  // second doesn't change with whom it has forgotten.
  bool MayExpose() const;
  RolloutController MakeController(const RolloutRecord& record) const;
  std::map<ServiceId, Slots> CountSlots(TimePoint now) const;
  // Agrees on what has ended here, all at once.
  void AgreeOnEnds();
  void TakeOver(TimePoint now);
  bool MayTakeOver(const RolloutRecord& record,
                   const std::vector<HostId>& live,
                   TimePoint now);
  void Agree(const std::string& name,
             std::function<void(std::vector<RolloutRecord>& rollouts)> edit);

  Runtime& runtime;
  RolloutOwnerOptions options;
  std::vector<RolloutRecord> rollouts;
  // When this host first heard of a running roll-out.
  std::map<std::pair<ServiceId, uint64_t>, TimePoint> first_heard;
  std::map<ServiceId, RolloutController> controllers;
  std::map<HostId, Reporter> reporters;
  // Owners that aren't in touch: since when.
  std::map<HostId, TimePoint> absent;
  bool is_agreeing = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ROLLOUT_OWNER_H_
