// Operators' changes and reads of what control hosts agree on.
//
//   AgreedEditor editor({.author = id, .service = service, .on_chosen = ...});
//   bool is_accepted = editor.SetZoneOut(zone, true, deadline);

#ifndef KNAPWEEDROAD_EDGE_AGREED_EDITOR_H_
#define KNAPWEEDROAD_EDGE_AGREED_EDITOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/log_limit.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/change_request.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/edge/order_guard.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/registry/agreed_state.h"

namespace knapweedroad {

struct AgreedEditorOptions {
  OperatorId author;
  // Outlives the editor.
  ControlService& service;
  // What this host's last question to all replicas found, for the log.
  std::function<ControlPeek()> last_look;
  // A read has found this chosen.
  std::function<void(uint64_t version, const std::string& text)> on_chosen;
};

// Each call blocks the calling fiber until its answer or the deadline.
class AgreedEditor {
 public:
  explicit AgreedEditor(AgreedEditorOptions options);

  // Makes the text the newest configuration unless its number is not above the
  // newest one's. True: a quorum holds this or a newer one on its disks; false:
  // not known, the same again settles it.
  bool PutRouting(uint64_t number, std::string text, TimePoint deadline);

  // Takes a zone out or back in, if `base` is still the agreed version.
  OrderResult SetZoneOut(const ZoneId& zone,
                         bool is_out,
                         uint64_t base,
                         TimePoint deadline);

  // Changes the agreed roll-outs, if `base` is still the agreed version. `edit`
  // may run several times.
  OrderResult OrderRollouts(
      const std::string& name,
      std::function<void(std::vector<RolloutRecord>& rollouts)> edit,
      uint64_t base,
      TimePoint deadline);

  // Changes the agreed roll-outs; as PutRouting(). `edit` may run several
  // times.
  bool EditRollouts(
      const std::string& name,
      std::function<void(std::vector<RolloutRecord>& rollouts)> edit,
      TimePoint deadline);

  // Makes `next` the quota leader unless another one than `seen` is agreed on
  // by now; as PutRouting().
  bool ReplaceQuotaLeader(const QuotaLeaderRecord& seen,
                          const QuotaLeaderRecord& next,
                          TimePoint deadline);

  // The newest state there is; nothing where that can't be known now.
  std::optional<AgreedState> Read(TimePoint deadline);

  // The version of the newest state; as Read().
  std::optional<uint64_t> ReadVersion(TimePoint deadline);

  // Changes that a quorum holds, and those of which that isn't known.
  uint64_t accepted() const { return this->changes_accepted; }
  uint64_t unknown() const { return this->changes_unknown; }
  // Reads that found no quorum in time.
  uint64_t failed_reads() const { return this->reads_failed; }

 private:
  // Without a base the edit follows whatever is agreed.
  ChangeOutcome Apply(const std::string& name,
                      std::function<void(AgreedState&)> edit,
                      std::optional<uint64_t> base,
                      TimePoint deadline);
  OrderResult Order(const std::string& name,
                    std::function<void(AgreedState&)> edit,
                    uint64_t base,
                    TimePoint deadline);
  bool Edit(const std::string& name,
            std::function<void(AgreedState&)> edit,
            TimePoint deadline);
  std::optional<ControlValue> ReadValue(TimePoint deadline);
  void ReportFailedRead(const ControlPeek& peek);
  void ReportChange(const std::string& name, const ChangeOutcome& outcome);

  AgreedEditorOptions options;
  uint64_t changes_accepted = 0;
  uint64_t changes_unknown = 0;
  uint64_t reads_failed = 0;
  LogLimit read_lines{std::chrono::seconds(1)};
  LogLimit change_reports{std::chrono::seconds(1)};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_AGREED_EDITOR_H_
