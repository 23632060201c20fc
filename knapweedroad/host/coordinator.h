// Answers a caller: runs the query core's decisions over fibers and sockets.
//
//   Coordinator coordinator(runtime, {.own_zone = zone, .router = router,
//   ...}); HttpResponse response = coordinator.Answer(request, exchange);

#ifndef KNAPWEEDROAD_HOST_COORDINATOR_H_
#define KNAPWEEDROAD_HOST_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/host/caller_request.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/record_run.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

class AttemptRouter;
class HostMetrics;
class Runtime;
struct HttpExchange;

struct CoordinatorOptions {
  HostId host;
  ZoneId own_zone;
  AttemptRouter& router;
  HostMetrics& metrics;
  // Unique to this start of this process; every attempt id begins with it.
  std::string process_id;
  std::function<std::vector<TargetCandidate>(const FrontId&, const ServiceId&)>
      candidates;
  // Runs a lookup at the host that is responsible for its key.
  std::function<RecordResult(const FrontRequest&)> lookup;
  uint64_t seed = 1;
};

class Coordinator {
 public:
  Coordinator(Runtime& runtime, CoordinatorOptions options);
  ~Coordinator();

  // Blocks the calling fiber until the answer or refusal is there.
  HttpResponse Answer(const FrontRequest& request, HttpExchange& exchange);

  // Runs a lookup from this host, whoever is responsible for its key. Blocks
  // the calling fiber.
  RecordResult RunLookup(const FrontRequest& request);

  // A new configuration is in force: measured state of fronts that are gone
  // is dropped.
  void OnConfiguration(const DeploymentConfig& configuration);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_COORDINATOR_H_
