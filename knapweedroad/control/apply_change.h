// The rule by which a change of the configuration is accepted or rejected.
//
//   ChangeOutcome outcome = ApplyChange(value, request);

#ifndef KNAPWEEDROAD_CONTROL_APPLY_CHANGE_H_
#define KNAPWEEDROAD_CONTROL_APPLY_CHANGE_H_

#include "knapweedroad/control/change_request.h"

namespace knapweedroad {

struct ControlValue;

// Applies the request to `value` and records its outcome there; a request
// whose outcome is recorded changes nothing and gets that outcome again. The
// outcome counts only once the changed value has been chosen.
//
// Two requests with one base version: the first makes the next version, the
// second is told who did. A request whose outcome has been dropped never runs
// again if it names a base version, since versions only rise; where it can't
// be known what its first answer was, it is unknown (kStale). A request
// without a base version is recognised only while its outcome is kept.
ChangeOutcome ApplyChange(ControlValue& value, const ChangeRequest& request);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_APPLY_CHANGE_H_
