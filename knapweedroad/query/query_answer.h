// The result of a query: an answer, or the error that replaces it.

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
  // The snapshot that all hits come from.
  SnapshotId snapshot;
  Coverage coverage;
  // Services of the manifest that did not search all of their index units.
  std::vector<ServiceId> missing_services;
  // Best first, each record once.
  std::vector<Hit> hits;
};

// The error response to a search, record read or lookup that has no answer.
struct QueryRefusal {
  // The HTTP status: 429, 502, 503 or 504.
  int status = 503;
  std::string title;
  std::string detail;
  // Whether the request ran on any target.
  RunOutcome outcome = RunOutcome::kNotRun;
  // The delay after which the caller should retry. Zero: the caller may retry
  // at once on another host.
  Duration retry_after{};

  friend bool operator==(const QueryRefusal&, const QueryRefusal&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_ANSWER_H_
