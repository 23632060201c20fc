#include "knapweedroad/testing/history_checker.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/testing/answer_check.h"

namespace knapweedroad {
namespace {

constexpr int kStatusAnswered = 200;
constexpr uint64_t kKeptOfAKind = 20;

}  // namespace

HistoryChecker::HistoryChecker(const std::vector<FrontTruth>& fronts) {
  for (const FrontTruth& front : fronts) {
    this->fronts[front.name] = front;
  }
}

void HistoryChecker::Check(const CallRecord& call) {
  if (call.kind == CallKind::kLookup && !call.idempotency_key.empty()) {
    this->sent_keys.push_back(call.idempotency_key);
  }
  if (call.status == 0) {
    return;
  }
  ++this->compared;
  if (call.status != kStatusAnswered) {
    this->CheckRefusal(call);
    return;
  }
  std::optional<AnswerFault> fault;
  if (call.kind == CallKind::kQuery) {
    fault = FindQueryFault(this->fronts[call.front], call);
  } else {
    fault = FindRecordFault(call);
  }
  if (fault) {
    this->Add(fault->kind, call, fault->detail);
  }
}

void HistoryChecker::CheckRefusal(const CallRecord& call) {
  if (FindHeader(call.headers, "Knapweed-Outcome") == "not_run") {
    this->said_not_run.push_back(call.request_id);
  }
  if (const auto fault = FindProblemFault(call)) {
    this->Add(fault->kind, call, fault->detail);
  }
}

void HistoryChecker::CheckExecutions(const ExecutionCounts& executions) {
  for (const std::string& request : this->said_not_run) {
    const auto found = executions.requests.find(request);
    if (found != executions.requests.end() && found->second > 0) {
      this->Add(PromiseKind::kNotRunButRan, request,
                "executed " + std::to_string(found->second) + " times");
    }
  }
  for (const auto& [key, count] : executions.keys) {
    if (count > 1) {
      this->Add(PromiseKind::kKeyRanTwice, std::string(),
                "key " + key + " executed " + std::to_string(count) + " times");
    }
  }
}

void HistoryChecker::Add(PromiseKind kind,
                         const CallRecord& call,
                         std::string detail) {
  this->Add(kind, call.request_id,
            std::to_string(call.status) + ": " + std::move(detail));
}

void HistoryChecker::Add(PromiseKind kind,
                         std::string request_id,
                         std::string detail) {
  if (++this->total_by_kind[kind] <= kKeptOfAKind) {
    this->first.push_back({.kind = kind,
                           .request_id = std::move(request_id),
                           .detail = std::move(detail)});
  }
}

}  // namespace knapweedroad
