#include "knapweedroad/edge/order_guard.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/edge/call_origin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// The version that an order is based on is read within this time after the
// order. With the longest pause that isn't noticed this stays below the
// caller's patience: what the caller orders later is based on a later version.
constexpr Duration kReadWithin = milliseconds(500);
static_assert(kReadWithin + kLongestPause < kCallerPatience);

// A caller that has given up closes its connection. Where a link held up the
// order, the close follows the order's bytes a round trip later.
constexpr Duration kCloseDelay = milliseconds(30);

// Bytes that waited through a standstill are read within this time after it.
constexpr Duration kBacklog = kCallerPatience;

}  // namespace

OrderGuard::OrderGuard(OrderGuardOptions options)
    : options(std::move(options)) {}

bool OrderGuard::IsObsolete(const CallOrigin& origin) const {
  return this->options.standstill.MayBeOld(origin.received, kBacklog,
                                           this->options.now()) ||
         (origin.is_abandoned && origin.is_abandoned());
}

OrderResult OrderGuard::Run(const CallOrigin& origin,
                            const Change& change) const {
  const BootTime read_until = origin.received + kReadWithin;
  bool is_overtaken = false;
  while (this->options.now() < read_until) {
    const auto base = this->options.read_version(read_until);
    if (!base) {
      break;
    }
    const BootTime closed_by = origin.received + kCloseDelay;
    if (const BootTime now = this->options.now(); now < closed_by) {
      this->options.wait(closed_by - now);
    }
    if (this->IsObsolete(origin)) {
      return OrderResult::kObsolete;
    }
    const OrderResult result = change(*base);
    if (result != OrderResult::kChanged) {
      return result;
    }
    is_overtaken = true;
  }
  if (this->IsObsolete(origin)) {
    return OrderResult::kObsolete;
  }
  return is_overtaken ? OrderResult::kChanged : OrderResult::kUnknown;
}

std::string_view ToString(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kObsolete:
      return "obsolete";
    case OrderResult::kChanged:
      return "changed";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace knapweedroad
