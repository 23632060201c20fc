// What a caller gets whose request isn't served.
//
//   exchange->Answer(MakeRefusal(503, milliseconds(400)));

#ifndef KNAPWEEDROAD_EDGE_CALLER_REFUSAL_H_
#define KNAPWEEDROAD_EDGE_CALLER_REFUSAL_H_

#include <optional>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct CallerAnswer;

// `retry_after`: when another try is likely to be served. A 401 names the
// scheme that is expected, as HTTP requires.
CallerAnswer MakeRefusal(int status, std::optional<Duration> retry_after);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CALLER_REFUSAL_H_
