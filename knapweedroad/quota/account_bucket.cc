#include "knapweedroad/quota/account_bucket.h"

#include <algorithm>
#include <cmath>

#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {
namespace {

// Without rejections for this time, an account's tokens are no longer scarce.
constexpr Duration kScarceTime = std::chrono::seconds(1);
// Of its demand for a stock time, a pool keeps what it needs until its next
// call while tokens are scarce.
constexpr uint64_t kScarceDivisor = 12;
// What a pool wants counts until it has missed some reports.
constexpr Duration kForgetWanted = std::chrono::seconds(1);
// Covers rounding in the sum of many small refills.
constexpr double kRounding = 1e-6;
// Of the capacity, kept back from stock for requests that arrive.
constexpr double kKeptShare = 0.25;

uint32_t Milliseconds(Duration duration) {
  const auto rounded =
      std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(rounded, 1, UINT32_MAX));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, kLongest)));
}

}  // namespace

AccountBucket::AccountBucket(const AccountBucketOptions& options, BootTime now)
    : options(options), available(options.capacity), refilled_at(now) {}

void AccountBucket::BeginTerm(BootTime now) {
  this->available = std::min(kStartTokens, this->options.capacity);
  this->refilled_at = now;
  this->uncertain_until = now + this->options.token_lifetime;
  this->reported_earlier = 0;
}

void AccountBucket::SetOptions(const AccountBucketOptions& options,
                               BootTime now) {
  this->AdvanceTo(now);
  this->options = options;
  this->available = std::min(this->available, this->Room());
}

// What the available tokens may grow to.
double AccountBucket::Room() const {
  double limit = this->options.capacity;
  if (this->refilled_at < this->uncertain_until) {
    limit = std::min(limit, this->options.start_allowance +
                                static_cast<double>(this->reported_earlier));
  }
  return std::max(0.0, limit - static_cast<double>(this->outstanding));
}

void AccountBucket::RefillTo(BootTime time) {
  if (time <= this->refilled_at) {
    return;
  }
  const double grown =
      this->options.quota.rate * Seconds(time - this->refilled_at);
  this->available = std::min(this->available + grown, this->Room());
  this->refilled_at = time;
}

// Stops at each expiry on the way: a token that has expired gives room for a
// refill from then on, and not for the time before.
void AccountBucket::AdvanceTo(BootTime now) {
  while (true) {
    BootTime next = now;
    for (const auto& [pool, share] : this->shares) {
      next = std::min(next, share.tokens.first_expiry());
    }
    if (this->refilled_at < this->uncertain_until) {
      next = std::min(next, this->uncertain_until);
    }
    this->RefillTo(next);
    for (auto& [pool, share] : this->shares) {
      const uint64_t before = share.tokens.total();
      share.tokens.DropExpired(next);
      this->outstanding -= before - share.tokens.total();
      if (now - share.reported_at > kForgetWanted) {
        share.wanted = 0;
      }
    }
    std::erase_if(this->shares, [](const auto& entry) {
      return entry.second.tokens.total() == 0 && entry.second.wanted == 0;
    });
    if (next == now) {
      return;
    }
  }
}

// The pool had no call in progress when it made this report, so it will never
// hold tokens of earlier replies that it neither holds nor has spent.
void AccountBucket::TakeReport(PoolShare& share,
                               const PoolAccount& report,
                               BootTime now) {
  const uint64_t counted = share.tokens.total();
  if (report.held > counted) {
    const uint64_t earlier = report.held - counted;
    share.tokens.Add(earlier, now + this->options.token_lifetime);
    this->outstanding += earlier;
    this->reported_earlier += earlier;
  } else {
    const uint64_t gone = counted - report.held;
    const uint64_t spent = report.spent_total >= share.spent_total
                               ? report.spent_total - share.spent_total
                               : gone;
    share.tokens.RemoveOldest(gone);
    this->outstanding -= gone;
    this->available += static_cast<double>(gone - std::min(gone, spent));
  }
  share.spent_total = report.spent_total;
  share.wanted = report.wanted;
  share.reported_at = now;
  this->available = std::min(this->available, this->Room());
}

uint32_t AccountBucket::Grant(PoolShare& share,
                              uint64_t count,
                              double kept,
                              BootTime now) {
  const double spare = std::floor(this->available - kept + kRounding);
  if (count == 0 || spare < 1) {
    return 0;
  }
  const auto granted =
      static_cast<uint32_t>(std::min({static_cast<double>(count), spare, 1e9}));
  this->available -= granted;
  this->outstanding += granted;
  share.tokens.Add(granted, now + this->options.token_lifetime);
  return granted;
}

uint64_t AccountBucket::StockLimit(const PoolShare& share, BootTime now) const {
  if (now < this->scarce_until) {
    return share.wanted / kScarceDivisor;
  }
  uint64_t wanted = 0;
  for (const auto& [pool, other] : this->shares) {
    wanted += other.wanted;
  }
  const double stock = this->options.capacity * (1 - kKeptShare);
  const auto total = static_cast<double>(wanted);
  if (total <= stock) {
    return UINT32_MAX;
  }
  const double part = static_cast<double>(share.wanted) * stock / total;
  return std::max<uint64_t>(1, static_cast<uint64_t>(part));
}

Duration AccountBucket::UntilNextToken() const {
  return FromSeconds((1 - this->available) / this->options.quota.rate);
}

// Each rejected request is told a later time than the one before, by the time
// that a token takes, up to the horizon.
void AccountBucket::Reject(uint32_t count, RefillGrant& grant, BootTime now) {
  const BootTime first = now + this->UntilNextToken();
  if (this->next_retry < first ||
      this->next_retry > now + this->options.retry_horizon) {
    this->next_retry = first;
  }
  grant.retry_after_ms = Milliseconds(this->next_retry - now);
  this->next_retry += FromSeconds(count / this->options.quota.rate);
  this->scarce_until = now + kScarceTime;
}

RefillGrant AccountBucket::Answer(const PoolKey& pool,
                                  const PoolAccount& report,
                                  BootTime now) {
  this->AdvanceTo(now);
  PoolShare& share = this->shares[pool];
  this->TakeReport(share, report, now);
  RefillGrant grant{.account = report.account};
  // Tokens beyond a lowered capacity run out.
  if (static_cast<double>(this->outstanding) <= this->options.capacity) {
    grant.is_renewed = true;
    share.tokens.Renew(now + this->options.token_lifetime);
  }
  grant.granted = this->Grant(share, report.waiting, 0, now);
  if (grant.granted < report.waiting) {
    this->Reject(report.waiting - grant.granted, grant, now);
  }
  const uint64_t limit = this->StockLimit(share, now);
  const uint64_t stock = std::min<uint64_t>(report.wanted, limit);
  if (stock > report.held) {
    const double kept = this->options.capacity * kKeptShare;
    grant.granted += this->Grant(share, stock - report.held, kept, now);
  }
  grant.stock_limit =
      static_cast<uint32_t>(std::min<uint64_t>(limit, UINT32_MAX));
  grant.retry_step_ms = Milliseconds(FromSeconds(1 / this->options.quota.rate));
  if (this->available + kRounding < 1) {
    grant.empty_ms = Milliseconds(this->UntilNextToken());
  }
  return grant;
}

double AccountBucket::AvailableTokens(BootTime now) const {
  AccountBucket copy = *this;
  copy.AdvanceTo(now);
  return copy.available;
}

double AccountBucket::OutstandingTokens(BootTime now) const {
  AccountBucket copy = *this;
  copy.AdvanceTo(now);
  return static_cast<double>(copy.outstanding);
}

}  // namespace knapweedroad
