// Asks control hosts for permits for the requests of client accounts with a
// limit.
//
//   QuotaClient quota(runtime, {.self = self, .responsive_hosts = ...});
//   quota.Take(account, [](const QuotaDecision& decision) { ... });

#ifndef KNAPWEEDROAD_EDGE_QUOTA_CLIENT_H_
#define KNAPWEEDROAD_EDGE_QUOTA_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class Runtime;
struct PermitCall;
struct PermitReply;
struct QuotaDecision;

struct QuotaClientOptions {
  HostId self;
  // The control hosts that respond, the one to ask first in front.
  std::function<std::vector<HostId>()> responsive_hosts;
  // Calls a control host. Blocks the calling fiber until the reply or the
  // deadline; empty if there was none.
  std::function<std::optional<PermitReply>(const HostId& host,
                                           const PermitCall& call,
                                           TimePoint deadline)>
      call;
  std::function<BootTime()> boot_now = BootClock::now;
};

struct QuotaClientCounts {
  uint64_t admitted = 0;
  uint64_t over_quota = 0;
  uint64_t unknown = 0;
  // Permits that came too late to be used, and those given back.
  uint64_t discarded = 0;
  uint64_t returned = 0;
  uint64_t calls = 0;
  // Calls beyond the first about the same questions.
  uint64_t retries = 0;
  // From the questions to their decisions, all together.
  Duration decision_time{};
};

class QuotaClient {
 public:
  QuotaClient(Runtime& runtime, QuotaClientOptions options);
  // Drops the questions that have no decision yet.
  ~QuotaClient();

  // Asks for a permit for one request. Calls `on_decision` exactly once, within
  // 250 ms. A permit must be used at once. Questions of the same moment share a
  // message.
  void Take(const AccountId& account,
            std::function<void(const QuotaDecision&)> on_decision);

  // Gives back a permit whose request was rejected without having been sent. It
  // goes with the next call to the control host that granted it, and is dropped
  // if there is none soon.
  void Return(const AccountId& account);

  const QuotaClientCounts& counts() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_QUOTA_CLIENT_H_
