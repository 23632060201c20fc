// The lines that a caller's request leaves in the log: by its id they say what
// became of it, and why.
//
//   LogRequestEnd(context, end, status, took, describe_unserved);

#ifndef KNAPWEEDROAD_EDGE_REQUEST_LOG_H_
#define KNAPWEEDROAD_EDGE_REQUEST_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

class RequestRun;
class RouteTable;
struct CallerRequest;
struct LossReport;
struct RouteConfig;
struct RunEnd;

struct RequestLogContext {
  const CallerRequest& request;
  const RouteConfig& route;
  // Of the configuration that the request goes by.
  uint64_t version = 0;
  // See LoggedAccount().
  std::optional<AccountId> account;
  const RequestRun& run;
  // How long it may take in all.
  Duration allowed{};
  // Of attempts without a plain answer, see AttemptLog.
  std::string_view attempt_log;
  // Of the request's content if targets were lost under it; else zero.
  RequestFingerprint fingerprint{};
};

// Returns the account as it is logged, an empty name if the request has none;
// nothing if the configuration has no accounts, which then aren't logged.
std::optional<AccountId> LoggedAccount(const RouteTable* table,
                                       const AccountId& account);

struct RequestRefusal {
  std::string_view route;
  int status = 0;
  std::string_view cause;
  // Of the configuration that the request goes by; zero if there is none.
  uint64_t version = 0;
  // See LoggedAccount().
  std::optional<AccountId> account;
};

// Refused before any attempt.
void LogRequestRefused(const CallerRequest& request,
                       const RequestRefusal& refusal);

// A line unless the answer was whole and in time. `unserved` is asked, where it
// helps, for services without a usable target.
void LogRequestEnd(const RequestLogContext& context,
                   const RunEnd& end,
                   int status,
                   Duration took,
                   const std::function<std::string()>& unserved);

void LogCallerLeft(const RequestLogContext& context, Duration took);

struct LostAttempt {
  std::string_view route;
  const ServiceId& service;
  const TargetId& target;
  Duration took{};
};

// A target closed the connection of an attempt without an answer. The
// fingerprint finds all attempts of requests with the same content.
void LogTargetLost(const CallerRequest& request, const LostAttempt& lost);

// The request is condemned as a query of death. `report`: the targets that were
// lost under it.
void LogQueryOfDeath(const CallerRequest& request,
                     std::string_view route,
                     const LossReport& report);

// The caller left before its request was admitted or refused.
void LogCallerLeftUnadmitted(const CallerRequest& request,
                             std::string_view route,
                             Duration took);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_LOG_H_
