// The lines that a caller's request leaves in the log: by its id they say what
// became of it, and why.
//
//   LogRequestEnd(context, end, status, took, describe_unserved);

#ifndef KNAPWEEDROAD_EDGE_REQUEST_LOG_H_
#define KNAPWEEDROAD_EDGE_REQUEST_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class RequestRun;
struct CallerRequest;
struct RouteConfig;
struct RunEnd;

struct RequestLogContext {
  const CallerRequest& request;
  const RouteConfig& route;
  // Of the configuration that the request goes by.
  uint64_t version = 0;
  const RequestRun& run;
  // How long it may take in all.
  Duration allowed{};
  // Of attempts without a plain answer, see AttemptLog.
  std::string_view attempt_log;
};

// Refused before any attempt.
void LogRequestRefused(const CallerRequest& request,
                       std::string_view route,
                       int status,
                       std::string_view cause,
                       uint64_t version);

// A line unless the answer was whole and in time. `unserved` is asked, where it
// helps, for services without a usable target.
void LogRequestEnd(const RequestLogContext& context,
                   const RunEnd& end,
                   int status,
                   Duration took,
                   const std::function<std::string()>& unserved);

void LogCallerLeft(const RequestLogContext& context, Duration took);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_LOG_H_
