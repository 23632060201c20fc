// The first part of a caller's request: finds its route, has it admitted, and
// starts its run, or refuses it.
//
//   AdmitCallerRequest(parts, std::move(request), exchange);

#ifndef KNAPWEEDROAD_EDGE_ADMIT_REQUEST_H_
#define KNAPWEEDROAD_EDGE_ADMIT_REQUEST_H_

#include <memory>

namespace knapweedroad {

class CallerExchange;
struct CallerRequest;
struct EntryParts;

// Nothing is sent and no retry budget is charged before the request is
// admitted, which may be after this returns. `parts` must outlive the request.
void AdmitCallerRequest(EntryParts& parts,
                        CallerRequest request,
                        std::shared_ptr<CallerExchange> exchange);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ADMIT_REQUEST_H_
