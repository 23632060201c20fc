// The last word on a query: an answer, or why there is none.

#ifndef KNAPWEEDROAD_QUERY_QUERY_ANSWER_H_
#define KNAPWEEDROAD_QUERY_QUERY_ANSWER_H_

#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/query/coverage.h"
#include "knapweedroad/query/search_reply.h"

namespace knapweedroad {

struct QueryAnswer {
  std::string request_id;
  // The one snapshot that all hits are of.
  SnapshotId snapshot;
  Coverage coverage;
  // Services of the manifest that brought less than all of their units.
  std::vector<ServiceId> missing_services;
  std::vector<Hit> hits;
};

// Also of record reads and lookups.
struct QueryRefusal {
  // An HTTP status: 429, 502, 503 or 504.
  int status = 503;
  std::string title;
  std::string detail;
  RunOutcome outcome = RunOutcome::kNotRun;
  // When it is worth asking again; zero: at once, elsewhere.
  Duration retry_after{};

  friend bool operator==(const QueryRefusal&, const QueryRefusal&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_ANSWER_H_
