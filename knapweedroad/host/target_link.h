// One target at the host that holds its lease: admission, connections, sends.
//
//   TargetLink link(runtime,
//                   {.target = id, .endpoint = address,
//                    .admission = {.slots = 2, .max_connections = 25}});
//   AttemptReply reply = link.Run(call, deadline);   // blocks the fiber

#ifndef KNAPWEEDROAD_HOST_TARGET_LINK_H_
#define KNAPWEEDROAD_HOST_TARGET_LINK_H_

#include <memory>

#include "knapweedroad/admission/target_admission.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/target/attempt_id.h"
#include "knapweedroad/target/target_report.h"
#include "knapweedroad/wire/attempt_call.h"
#include "knapweedroad/wire/attempt_reply.h"

namespace knapweedroad {

class Runtime;

struct TargetLinkOptions {
  TargetId target;
  Endpoint endpoint;
  TargetAdmission::Options admission;
};

class TargetLink {
 public:
  TargetLink(Runtime& runtime, const TargetLinkOptions& options);
  // What runs goes on to its end; nothing new starts.
  ~TargetLink();

  // Waits for a slot, sends, and waits for the answer; blocks the calling fiber
  // until `deadline` and a little at the latest.
  AttemptReply Run(const AttemptCall& call, TimePoint deadline);

  // The attempt's Run() returns soon; the target is told if it was sent.
  void Cancel(const AttemptId& attempt);

  void OnReport(const TargetReport& report);
  void SetShare(const TargetShare& share);
  void SetAcceptingNew(bool accepting);
  void SetOptions(const TargetAdmission::Options& options);

  const TargetAdmission& admission() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_TARGET_LINK_H_
