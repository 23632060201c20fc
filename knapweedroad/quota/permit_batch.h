// The questions for permits that an entry host asks together: whom to call,
// when to ask another control host, and what becomes of each question.
//
//   PermitBatch batch({}, std::move(questions), now);
//   while (auto host = batch.NextHost(responsive, now)) {
//     PermitCall call = batch.MakeCall(*host, boot_now);
//     ...
//     batch.OnReply(call_index, reply, boot_now);   // or OnCallFailed()
//   }
//   batch.GiveUp();   // when the time is up

#ifndef KNAPWEEDROAD_QUOTA_PERMIT_BATCH_H_
#define KNAPWEEDROAD_QUOTA_PERMIT_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_decision.h"

namespace knapweedroad {

struct PermitCall;
struct PermitGrant;
struct PermitReply;

struct PermitBatchOptions {
  HostId self;
  // Without a reply for this long, another control host is asked, too.
  Duration retry_after = std::chrono::milliseconds(80);
  // How long the questions may take in all.
  Duration timeout = std::chrono::milliseconds(250);
  // What a request is told that no control host has decided on.
  Duration unknown_retry_after = std::chrono::milliseconds(500);
};

struct PermitQuestion {
  AccountId account;
  std::function<void(const QuotaDecision&)> on_decision;
};

// Permits of an account that no question needs.
struct SurplusPermits {
  AccountId account;
  uint32_t count = 0;
};

// Calls back each question exactly once, from OnReply() or GiveUp(). A permit
// that is older than its lifetime, counted from when its call was made, is
// discarded, and asked for once more.
class PermitBatch {
 public:
  PermitBatch(PermitBatchOptions options,
              std::vector<PermitQuestion> questions,
              TimePoint now);

  // Returns the control host to call now, if any: the first of the responsive
  // ones, and once another one if the first has failed, can't decide, or hasn't
  // replied for `retry_after`.
  std::optional<HostId> NextHost(std::span<const HostId> responsive,
                                 TimePoint now) const;

  // Begins a call about the undecided questions. Calls are counted from zero.
  PermitCall MakeCall(const HostId& host, BootTime now);

  // Ends a call; a second reply to it is ignored. Returns the permits in the
  // reply that can still be used and that no question needs.
  std::vector<SurplusPermits> OnReply(size_t call,
                                      const PermitReply& reply,
                                      BootTime now);
  void OnCallFailed(size_t call);

  // Tells the undecided questions that nothing is known.
  void GiveUp();

  bool is_decided() const { return this->undecided_count == 0; }
  bool is_calling() const;
  TimePoint deadline() const { return this->started + this->options.timeout; }
  // When to ask NextHost() again if no call ends before.
  TimePoint NextWake(TimePoint now) const;
  size_t call_count() const { return this->calls.size(); }
  size_t discarded() const { return this->discarded_count; }

 private:
  // The questions about one account.
  struct Group {
    AccountId account;
    std::vector<std::function<void(const QuotaDecision&)>> undecided;
  };
  struct Call {
    HostId host;
    BootTime made_at;
    // Index of the group and number of permits, in the order of the call.
    std::vector<std::pair<size_t, uint32_t>> asked;
    bool is_over = false;
  };

  bool WasAsked(const HostId& host) const;
  void Decide(Group& group, size_t count, const QuotaDecision& decision);
  uint32_t Apply(Group& group,
                 uint32_t asked,
                 const PermitGrant& grant,
                 bool is_expired);

  PermitBatchOptions options;
  TimePoint started;
  std::vector<Group> groups;
  size_t undecided_count = 0;
  std::vector<Call> calls;
  // The host whose permits came too late, to be asked again.
  std::optional<HostId> to_ask_again;
  bool has_asked_again = false;
  size_t discarded_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_PERMIT_BATCH_H_
