#include "knapweedroad/quota/token_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

// Time constant of the demand estimate.
constexpr Duration kDemandTime = std::chrono::seconds(2);
// Requests per second. A single request counts as demand for about 8 s.
constexpr double kLeastDemand = 0.01;
// For how long requests are rejected without asking the leader.
constexpr Duration kLongestEmpty = std::chrono::milliseconds(100);
constexpr Duration kRetryHorizon = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

uint64_t ToTokens(double tokens) {
  constexpr double kMost = UINT32_MAX;
  return static_cast<uint64_t>(std::clamp(tokens, 0.0, kMost));
}

}  // namespace

TokenPool::TokenPool(TokenPoolOptions options) : options(std::move(options)) {}

void TokenPool::NoteDemand(Stock& stock, double requests, BootTime now) {
  const double elapsed = Seconds(now - stock.demand_at);
  stock.demand = stock.demand * std::exp(-elapsed / Seconds(kDemandTime)) +
                 requests / Seconds(kDemandTime);
  stock.demand_at = now;
}

bool TokenPool::Spend(Stock& stock, BootTime now) {
  stock.tokens.DropExpired(now);
  if (stock.tokens.total() == 0) {
    return false;
  }
  const BootTime expires = stock.tokens.first_expiry();
  stock.spent_expires = stock.spent_total == stock.spent_reported
                            ? expires
                            : std::min(stock.spent_expires, expires);
  stock.tokens.RemoveOldest(1);
  ++stock.spent_total;
  return true;
}

QuotaDecision TokenPool::Reject(Stock& stock, BootTime now) {
  const BootTime first = std::max({now + std::chrono::milliseconds(1),
                                   stock.empty_until, stock.first_retry});
  if (stock.next_retry <= now ||
      stock.next_retry > std::max(first, now + kRetryHorizon)) {
    stock.next_retry = first;
  }
  const QuotaDecision decision{.outcome = QuotaOutcome::kOverQuota,
                               .retry_after = stock.next_retry - now};
  stock.next_retry += stock.retry_step;
  return decision;
}

void TokenPool::Take(const AccountId& account,
                     BootTime now,
                     OnDecision on_decision) {
  Stock& stock = this->stocks[account];
  NoteDemand(stock, 1, now);
  if (Spend(stock, now)) {
    on_decision({.outcome = QuotaOutcome::kGranted});
    return;
  }
  if (now < stock.empty_until) {
    on_decision(Reject(stock, now));
    return;
  }
  if (stock.waiting.empty()) {
    this->waiting_accounts.push_back(account);
  }
  stock.waiting.push_back(std::move(on_decision));
  ++this->waiting;
}

void TokenPool::Return(const AccountId& account, BootTime now) {
  const auto found = this->stocks.find(account);
  if (found == this->stocks.end()) {
    return;
  }
  Stock& stock = found->second;
  // The pool can't tell which of the spent tokens comes back.
  if (stock.spent_total == stock.spent_reported || stock.spent_expires <= now) {
    return;
  }
  --stock.spent_total;
  stock.tokens.AddOldest(stock.spent_expires);
  if (stock.waiting.empty()) {
    return;
  }
  Spend(stock, now);
  stock.waiting_in_call -= stock.waiting_in_call > 0 ? 1 : 0;
  Decisions decisions;
  this->Decide(stock, {.outcome = QuotaOutcome::kGranted}, decisions);
  for (const auto& [on_decision, decision] : decisions) {
    on_decision(decision);
  }
}

bool TokenPool::IsCallDue(BootTime now) const {
  if (this->call_in_progress) {
    return false;
  }
  return this->waiting > 0 || !this->reported_all_at ||
         now - *this->reported_all_at >= this->options.call_interval;
}

uint64_t TokenPool::Wanted(const Stock& stock) const {
  if (stock.demand < kLeastDemand) {
    return 0;
  }
  const double mean = stock.demand * Seconds(this->options.stock_time);
  // One standard deviation more, as requests don't arrive evenly.
  return std::max<uint64_t>(1, ToTokens(mean + std::sqrt(mean)));
}

bool TokenPool::IsIdle(const Stock& stock) {
  return stock.demand < kLeastDemand && stock.tokens.total() == 0 &&
         stock.waiting.empty() && !stock.is_reported &&
         stock.spent_total == stock.spent_reported;
}

PoolAccount TokenPool::Report(const AccountId& account,
                              Stock& stock,
                              BootTime now) {
  const uint64_t wanted = this->Wanted(stock);
  stock.tokens.DropExpired(now);
  // The estimate varies by chance, so a part more is kept.
  const uint64_t kept = std::min(wanted + wanted / 2, stock.stock_limit);
  if (stock.tokens.total() > kept) {
    // Given back: the leader sees that they are neither held nor spent.
    stock.tokens.RemoveOldest(stock.tokens.total() - kept);
  }
  stock.spent_reported = stock.spent_total;
  stock.is_reported = true;
  stock.last_call = this->last_sequence;
  stock.held_in_call = stock.tokens.total();
  stock.waiting_in_call = stock.waiting.size();
  this->called_accounts.push_back(account);
  return {.account = account,
          .held = static_cast<uint32_t>(stock.held_in_call),
          .spent_total = stock.spent_total,
          .wanted = static_cast<uint32_t>(wanted),
          .waiting = static_cast<uint32_t>(stock.waiting_in_call)};
}

RefillCall TokenPool::MakeCall(BootTime now) {
  this->call_made_at = now;
  this->call_in_progress = ++this->last_sequence;
  this->called_accounts.clear();
  RefillCall call{.host = this->options.host,
                  .incarnation = this->options.incarnation,
                  .sequence = this->last_sequence};
  if (this->reported_all_at &&
      now - *this->reported_all_at < this->options.call_interval) {
    for (const AccountId& account : this->waiting_accounts) {
      Stock& stock = this->stocks[account];
      if (!stock.waiting.empty() && stock.last_call != this->last_sequence) {
        NoteDemand(stock, 0, now);
        call.accounts.push_back(this->Report(account, stock, now));
      }
    }
  } else {
    this->reported_all_at = now;
    for (auto& [account, stock] : this->stocks) {
      NoteDemand(stock, 0, now);
      stock.tokens.DropExpired(now);
    }
    std::erase_if(this->stocks,
                  [](const auto& entry) { return IsIdle(entry.second); });
    for (auto& [account, stock] : this->stocks) {
      call.accounts.push_back(this->Report(account, stock, now));
    }
  }
  this->waiting_accounts.clear();
  return call;
}

void TokenPool::Decide(Stock& stock,
                       const QuotaDecision& decision,
                       Decisions& decisions) {
  decisions.emplace_back(std::move(stock.waiting.front()), decision);
  stock.waiting.pop_front();
  --this->waiting;
}

void TokenPool::OnGrant(Stock& stock,
                        const RefillGrant& grant,
                        BootTime now,
                        Decisions& decisions) {
  const BootTime expires = this->call_made_at + this->options.token_lifetime;
  stock.tokens.DropExpired(now);
  if (expires > now) {
    if (grant.is_renewed) {
      stock.tokens.Renew(expires);
    }
    stock.tokens.Add(grant.granted, expires);
  }
  stock.is_reported = stock.held_in_call > 0 || grant.granted > 0;
  stock.stock_limit = grant.stock_limit;
  stock.retry_step = std::chrono::milliseconds(grant.retry_step_ms);
  stock.empty_until =
      now + std::min<Duration>(kLongestEmpty,
                               std::chrono::milliseconds(grant.empty_ms));
  if (grant.retry_after_ms > 0) {
    stock.first_retry = now + std::chrono::milliseconds(grant.retry_after_ms);
    stock.next_retry = stock.first_retry;
  }
  // Of the requests that came after the call was made, those stay that may get
  // a token by the next call.
  size_t asked = stock.waiting_in_call;
  while (!stock.waiting.empty()) {
    if (Spend(stock, now)) {
      this->Decide(stock, {.outcome = QuotaOutcome::kGranted}, decisions);
    } else if (asked > 0 || now < stock.empty_until) {
      this->Decide(stock, Reject(stock, now), decisions);
    } else {
      break;
    }
    asked -= asked > 0 ? 1 : 0;
  }
}

void TokenPool::OnReply(uint64_t sequence,
                        const RefillReply& reply,
                        BootTime now) {
  if (!reply.is_leader) {
    this->OnCallFailed(sequence, now);
    return;
  }
  if (this->call_in_progress != sequence) {
    return;
  }
  this->call_in_progress.reset();
  Decisions decisions;
  const QuotaDecision unknown{.outcome = QuotaOutcome::kUnknown,
                              .retry_after = this->options.unknown_retry_after};
  std::unordered_map<AccountId, const RefillGrant*> grants;
  for (const RefillGrant& grant : reply.grants) {
    grants[grant.account] = &grant;
  }
  for (const AccountId& account : this->called_accounts) {
    Stock& stock = this->stocks[account];
    const auto found = grants.find(account);
    if (found != grants.end()) {
      this->OnGrant(stock, *found->second, now, decisions);
    } else {
      // The leader doesn't know the account.
      stock.is_reported = stock.held_in_call > 0;
      for (size_t i = stock.waiting_in_call; i > 0; --i) {
        this->Decide(stock, unknown, decisions);
      }
    }
    if (!stock.waiting.empty()) {
      this->waiting_accounts.push_back(account);
    }
  }
  for (const auto& [on_decision, decision] : decisions) {
    on_decision(decision);
  }
}

void TokenPool::FailAll(Decisions& decisions) {
  const QuotaDecision unknown{.outcome = QuotaOutcome::kUnknown,
                              .retry_after = this->options.unknown_retry_after};
  for (const auto* accounts :
       {&this->called_accounts, &this->waiting_accounts}) {
    for (const AccountId& account : *accounts) {
      Stock& stock = this->stocks[account];
      while (!stock.waiting.empty()) {
        this->Decide(stock, unknown, decisions);
      }
    }
  }
  this->waiting_accounts.clear();
}

void TokenPool::OnCallFailed(uint64_t sequence, BootTime /*now*/) {
  if (this->call_in_progress != sequence) {
    return;
  }
  this->call_in_progress.reset();
  Decisions decisions;
  this->FailAll(decisions);
  for (const auto& [on_decision, decision] : decisions) {
    on_decision(decision);
  }
}

uint64_t TokenPool::HeldTokens(BootTime now) const {
  uint64_t held = 0;
  for (const auto& [account, stock] : this->stocks) {
    held += stock.tokens.Count(now);
  }
  return held;
}

}  // namespace knapweedroad
