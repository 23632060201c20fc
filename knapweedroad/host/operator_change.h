// Turns an operator's change, as it travels, into what control decides on.
//
//   ChangeOutcome outcome = control.Change(MakeChangeRequest(call), deadline);

#ifndef KNAPWEEDROAD_HOST_OPERATOR_CHANGE_H_
#define KNAPWEEDROAD_HOST_OPERATOR_CHANGE_H_

#include <string>

#include "knapweedroad/control/change_request.h"

namespace knapweedroad {

struct ChangeCall;

// The same call makes the same request on every host, so that a resend through
// another one is known for what it is. A switch of a zone is an edit of the
// configuration in force, refused where that has no such zone; a zone that is
// already so makes a version too, which is the one from which on it holds.
ChangeRequest MakeChangeRequest(const ChangeCall& call);

// The detail of that refusal, by which it is known again. Before the first
// `apply` there is no zone at all.
std::string NoSuchZone(const ZoneId& zone);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_OPERATOR_CHANGE_H_
