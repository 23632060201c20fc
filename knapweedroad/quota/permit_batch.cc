#include "knapweedroad/quota/permit_batch.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {

PermitBatch::PermitBatch(PermitBatchOptions options,
                         std::vector<PermitQuestion> questions,
                         TimePoint now)
    : options(std::move(options)),
      started(now),
      undecided_count(questions.size()) {
  for (PermitQuestion& question : questions) {
    auto group =
        std::ranges::find(this->groups, question.account, &Group::account);
    if (group == this->groups.end()) {
      this->groups.push_back({.account = std::move(question.account)});
      group = std::prev(this->groups.end());
    }
    group->undecided.push_back(std::move(question.on_decision));
  }
}

bool PermitBatch::is_calling() const {
  return !std::ranges::all_of(this->calls, &Call::is_over);
}

bool PermitBatch::WasAsked(const HostId& host) const {
  return std::ranges::find(this->calls, host, &Call::host) != this->calls.end();
}

std::optional<HostId> PermitBatch::NextHost(std::span<const HostId> responsive,
                                            TimePoint now) const {
  if (this->is_decided() || now >= this->deadline()) {
    return std::nullopt;
  }
  if (this->to_ask_again) {
    return this->to_ask_again;
  }
  const size_t max_calls = this->has_asked_again ? 3 : 2;
  const bool is_due =
      !this->is_calling() || now >= this->started + this->options.retry_after;
  if (this->calls.size() >= max_calls || !is_due) {
    return std::nullopt;
  }
  const auto host = std::ranges::find_if(
      responsive, [&](const HostId& other) { return !this->WasAsked(other); });
  return host == responsive.end() ? std::nullopt : std::optional(*host);
}

TimePoint PermitBatch::NextWake(TimePoint now) const {
  const TimePoint retry = this->started + this->options.retry_after;
  return now < retry ? retry : this->deadline();
}

PermitCall PermitBatch::MakeCall(const HostId& host, BootTime now) {
  if (this->to_ask_again) {
    this->to_ask_again.reset();
    this->has_asked_again = true;
  }
  Call& made = this->calls.emplace_back();
  made.host = host;
  made.made_at = now;
  PermitCall call{.sender = this->options.self};
  for (size_t i = 0; i < this->groups.size(); ++i) {
    const Group& group = this->groups[i];
    if (group.undecided.empty()) {
      continue;
    }
    const auto count = static_cast<uint32_t>(group.undecided.size());
    made.asked.emplace_back(i, count);
    call.requests.push_back({.account = group.account, .count = count});
  }
  return call;
}

void PermitBatch::Decide(Group& group,
                         size_t count,
                         const QuotaDecision& decision) {
  for (; count > 0 && !group.undecided.empty(); --count) {
    const auto on_decision = std::move(group.undecided.front());
    group.undecided.erase(group.undecided.begin());
    --this->undecided_count;
    on_decision(decision);
  }
}

// Returns how many permits are left over.
uint32_t PermitBatch::Apply(Group& group,
                            uint32_t asked,
                            const PermitGrant& grant,
                            bool is_expired) {
  const uint32_t granted = std::min(grant.granted, asked);
  const auto used =
      is_expired ? 0
                 : std::min<uint32_t>(
                       granted, static_cast<uint32_t>(group.undecided.size()));
  this->Decide(group, used, {.outcome = QuotaOutcome::kGranted});
  if (static_cast<QuotaOutcome>(grant.outcome) == QuotaOutcome::kOverQuota) {
    this->Decide(
        group, asked - granted,
        {.outcome = QuotaOutcome::kOverQuota,
         .retry_after = std::chrono::milliseconds(grant.retry_after_ms)});
  }
  if (is_expired) {
    this->discarded_count += granted;
    return 0;
  }
  return granted - used;
}

std::vector<SurplusPermits> PermitBatch::OnReply(size_t call,
                                                 const PermitReply& reply,
                                                 BootTime now) {
  std::vector<SurplusPermits> surplus;
  if (call >= this->calls.size() ||
      std::exchange(this->calls[call].is_over, true)) {
    return surplus;
  }
  const Call ended = this->calls[call];
  const bool is_expired = now - ended.made_at >= kPermitLifetime;
  const size_t count = std::min(ended.asked.size(), reply.grants.size());
  for (size_t i = 0; i < count; ++i) {
    Group& group = this->groups[ended.asked[i].first];
    const uint32_t left =
        this->Apply(group, ended.asked[i].second, reply.grants[i], is_expired);
    if (left > 0) {
      surplus.push_back({.account = group.account, .count = left});
    }
  }
  if (is_expired && !this->is_decided() && !this->has_asked_again) {
    this->to_ask_again = ended.host;
  }
  return surplus;
}

void PermitBatch::OnCallFailed(size_t call) {
  if (call < this->calls.size()) {
    this->calls[call].is_over = true;
  }
}

void PermitBatch::GiveUp() {
  for (Group& group : this->groups) {
    this->Decide(group, group.undecided.size(),
                 {.outcome = QuotaOutcome::kUnknown,
                  .retry_after = this->options.unknown_retry_after});
  }
}

}  // namespace knapweedroad
