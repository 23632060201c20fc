// Carries one caller's request through an entry host: runs its attempts on the
// links to targets and answers the caller.
//
//   StartEntryRequest(parts, {.table = table, .route = route, ...});

#ifndef KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
#define KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_

#include <memory>

#include "knapweedroad/edge/caller_message.h"

namespace knapweedroad {

class CallerExchange;
class RouteTable;
struct EntryParts;
struct RouteConfig;

struct AdmittedRequest {
  // The configuration that applies to the request, and its route there.
  std::shared_ptr<const RouteTable> table;
  const RouteConfig* route = nullptr;
  CallerRequest request;
  std::shared_ptr<CallerExchange> exchange;
};

// Answers at once if there is nothing to send. `parts` must outlive the
// request.
void StartEntryRequest(EntryParts& parts, AdmittedRequest admitted);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
