// Carries one caller's request through an entry host: runs its attempts on the
// links to targets and answers the caller.
//
//   StartEntryRequest(parts, std::move(request), exchange);

#ifndef KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
#define KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_

#include <memory>

namespace knapweedroad {

class CallerExchange;
struct CallerRequest;
struct EntryParts;

// Answers at once if there is nothing to send.
void StartEntryRequest(EntryParts& parts,
                       CallerRequest request,
                       std::shared_ptr<CallerExchange> exchange);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
