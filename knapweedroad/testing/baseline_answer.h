// The messages of BaselineHost, without I/O.

#ifndef KNAPWEEDROAD_TESTING_BASELINE_ANSWER_H_
#define KNAPWEEDROAD_TESTING_BASELINE_ANSWER_H_

#include <string>
#include <vector>

#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/testing/index_truth.h"

namespace knapweedroad {

// What one service gave to a query.
struct BaselinePart {
  bool answered = false;
  std::vector<IndexHit> hits;
};

// All parts of an answer together.
struct Gathered {
  std::vector<IndexHit> hits;
  std::vector<std::string> missing;
  uint64_t units_answered = 0;
  uint64_t units_total = 0;
};

// The caller's request id.
std::string IdOf(const HttpRequest& request);

HttpResponse Problem(const HttpRequest& request,
                     int status,
                     const char* title,
                     const char* outcome);

// A target's answer; one of another attempt counts as none.
BaselinePart ReadPart(const HttpResponse& response, const std::string& attempt);

// `parts` in the order of the front's services.
Gathered Gather(const FrontConfig& front,
                const GenerationConfig& generation,
                const std::vector<BaselinePart>& parts);

HttpResponse WriteAnswer(const HttpRequest& request,
                         const FrontConfig& front,
                         const SnapshotId& snapshot,
                         Gathered all);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_BASELINE_ANSWER_H_
