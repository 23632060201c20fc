#include "knapweedroad/edge/request_log.h"

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/routing/loss_report.h"
#include "knapweedroad/routing/request_run.h"
#include "knapweedroad/routing/route_config.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

constexpr int kLeastNoSuccess = 300;

int64_t Ms(Duration duration) {
  return std::chrono::floor<std::chrono::milliseconds>(duration).count();
}

void AddAccount(LogLine& line, const std::optional<AccountId>& account) {
  if (account) {
    line.Add("account", *account);
  }
}

}  // namespace

std::optional<AccountId> LoggedAccount(const RouteTable* table,
                                       const AccountId& account) {
  const bool has_accounts = table != nullptr && table->accounts() != nullptr;
  return has_accounts ? std::optional(account) : std::nullopt;
}

void LogRequestRefused(const CallerRequest& request,
                       const RequestRefusal& refusal) {
  LogLine line("request_refused");
  line.Add("id", request.id)
      .Add("route", refusal.route)
      .Add("status", refusal.status)
      .Add("cause", refusal.cause)
      .Add("host", request.host)
      .Add("path", request.path)
      .Add("version", refusal.version);
  AddAccount(line, refusal.account);
  line.Info();
}

void LogRequestEnd(const RequestLogContext& context,
                   const RunEnd& end,
                   int status,
                   Duration took,
                   const std::function<std::string()>& unserved) {
  const bool is_served =
      end.kind == RunEndKind::kParts || end.kind == RunEndKind::kAnswer;
  const bool is_whole = is_served && end.missing_parts == 0;
  if (is_whole && status < kLeastNoSuccess &&
      took <= context.route.latency_target) {
    return;
  }
  LogLine line("request_ended");
  line.Add("id", context.request.id)
      .Add("route", context.route.name)
      .Add("outcome", ToString(end.kind))
      .Add("cause", end.cause)
      .Add("status", status)
      .Add("took_ms", Ms(took))
      .Add("allowed_ms", Ms(context.allowed))
      .Add("missing", end.missing_parts)
      .Add("attempts", context.run.attempt_count())
      .Add("extra", context.run.extra_attempt_count())
      .Add("version", context.version)
      .Add("attempt_log", context.attempt_log)
      .Add("unserved", is_whole ? std::string() : unserved());
  AddAccount(line, context.account);
  const bool is_condemned = end.cause == kQueryOfDeath;
  if (is_condemned || context.fingerprint != RequestFingerprint()) {
    line.Add("fingerprint", ToString(FingerprintOf(context.request)));
  }
  line.Info();
}

void LogCallerLeft(const RequestLogContext& context, Duration took) {
  LogLine("caller_left")
      .Add("id", context.request.id)
      .Add("route", context.route.name)
      .Add("took_ms", Ms(took))
      .Add("allowed_ms", Ms(context.allowed))
      .Add("attempts", context.run.attempt_count())
      .Add("attempt_log", context.attempt_log)
      .Info();
}

void LogTargetLost(const CallerRequest& request, const LostAttempt& lost) {
  LogLine("target_lost")
      .Add("fingerprint", ToString(FingerprintOf(request)))
      .Add("id", request.id)
      .Add("route", lost.route)
      .Add("service", lost.service)
      .Add("target", lost.target)
      .Add("took_ms", Ms(lost.took))
      .Info();
}

void LogQueryOfDeath(const CallerRequest& request,
                     std::string_view route,
                     const LossReport& report) {
  std::string targets;
  for (const LostTarget& lost : report.lost) {
    targets += (targets.empty() ? "" : " ") + lost.target.str() + "(" +
               lost.service.str() + ",round:" + std::to_string(lost.round) +
               ")";
  }
  LogLine("query_of_death")
      .Add("fingerprint", ToString(FingerprintOf(request)))
      .Add("id", request.id)
      .Add("route", route)
      .Add("lost", report.lost.size())
      .Add("targets", targets)
      .Warning();
}

void LogCallerLeftUnadmitted(const CallerRequest& request,
                             std::string_view route,
                             Duration took) {
  LogLine("caller_left")
      .Add("id", request.id)
      .Add("route", route)
      .Add("took_ms", Ms(took))
      .Add("attempts", 0)
      .Info();
}

}  // namespace knapweedroad
