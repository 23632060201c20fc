// A caller's HTTP request, understood and checked against the configuration.
//
//   auto request = ReadCallerRequest(http, configuration, received, make_id);
//   if (!request) return ProblemResponse(request.error(), ...);

#ifndef KNAPWEEDROAD_HOST_CALLER_REQUEST_H_
#define KNAPWEEDROAD_HOST_CALLER_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/query/query_answer.h"
#include "knapweedroad/wire/attempt_call.h"

namespace knapweedroad {

struct FrontRequest {
  // Keeps the front's configuration as it was when the request came.
  std::shared_ptr<const FrontConfig> front;
  AttemptWork work = AttemptWork::kSearch;
  TenantId tenant;
  std::string request_class;
  uint32_t tenant_weight = 1;
  uint32_t class_weight = 1;
  TimePoint start;
  TimePoint deadline;
  std::string request_id;
  // Lookups only.
  std::string idempotency_key;
  // The caller says that it never sent this key before.
  bool first_send = false;
  // Searches: the body as it came, and the hits wanted.
  std::string query_body;
  uint32_t limit = 10;
  // Record reads and lookups.
  std::string record_id;
};

// The largest `limit` of a query.
inline constexpr uint32_t kMaxHits = 1000;

tl::expected<FrontRequest, QueryRefusal> ReadCallerRequest(
    const HttpRequest& http,
    const std::shared_ptr<const DeploymentConfig>& configuration,
    TimePoint received,
    const std::function<std::string()>& make_id);

// What can be said of a request that is refused unread. A lookup whose key may
// have been sent before may have run then: a caller that is told `not_run`
// would send its letter under a new key. Only a first send is known not to have
// run.
RunOutcome OutcomeUnread(const HttpRequest& http);

// The request id to echo in an answer to a request that wasn't understood:
// the caller's own where it is well-formed, else empty.
std::string EchoedRequestId(const HttpRequest& http);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CALLER_REQUEST_H_
