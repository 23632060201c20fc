#include "knapweedroad/edge/order_guard.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <criterion/criterion.h>

#include "knapweedroad/edge/call_origin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(1000)};

// An agreed zone that is out or not, and how often it was changed.
struct AgreedZone {
  uint64_t version = 7;
  bool is_out = true;

  OrderResult Set(bool out, uint64_t base) {
    if (base != this->version) {
      return OrderResult::kChanged;
    }
    this->version += out != this->is_out ? 1 : 0;
    this->is_out = out;
    return OrderResult::kDone;
  }
};

struct Fixture {
  Fixture()
      : guard({.read_version =
                   [this](BootTime deadline) -> std::optional<uint64_t> {
                 this->Pass(this->has_quorum ? this->read_time
                                             : deadline - this->now);
                 return this->has_quorum ? std::optional(this->zone.version)
                                         : std::nullopt;
               },
               .now = [this] { return this->now; },
               .wait = [this](Duration span) { this->Pass(span); },
               .standstill = this->standstill}) {
    this->standstill.OnTick(kStart);
  }

  // Time in which the process runs.
  void Pass(Duration span) {
    const BootTime end = this->now + span;
    while (this->now < end) {
      this->now = std::min(end, this->now + milliseconds(100));
      this->standstill.OnTick(this->now);
    }
  }

  // An order to take the zone back in.
  OrderResult TakeBack(std::function<bool()> is_abandoned = {}) {
    return this->guard.Run(
        {.received = this->now, .is_abandoned = std::move(is_abandoned)},
        [this](uint64_t base) {
          if (this->before_change) {
            std::exchange(this->before_change, nullptr)();
          }
          return this->zone.Set(false, base);
        });
  }

  AgreedZone zone;
  BootTime now = kStart;
  Duration read_time = milliseconds(5);
  bool has_quorum = true;
  std::function<void()> before_change;
  StandstillDetector standstill;
  OrderGuard guard;
};

Test(order_guard, an_order_whose_caller_waits_is_carried_out) {
  Fixture fixture;
  cr_expect(fixture.TakeBack([] { return false; }) == OrderResult::kDone);
  cr_expect(!fixture.zone.is_out);
}

// A call waits for a quorum. Its caller gets it done by another host, and the
// opposite after that: the state is as it was, and the late copy fits again.
Test(order_guard, an_order_that_later_ones_have_overtaken_changes_nothing) {
  Fixture fixture;
  fixture.before_change = [&] {
    fixture.zone.Set(false, fixture.zone.version);
    fixture.zone.Set(true, fixture.zone.version);
    fixture.Pass(seconds(2));
  };
  cr_expect(fixture.TakeBack() == OrderResult::kChanged);
  cr_expect(fixture.zone.is_out);
}

// A configuration is agreed on between the read and the change.
Test(order_guard, an_order_is_tried_again_after_an_unrelated_change) {
  Fixture fixture;
  fixture.before_change = [&] { ++fixture.zone.version; };
  cr_expect(fixture.TakeBack() == OrderResult::kDone);
  cr_expect(!fixture.zone.is_out);
}

// The host finds a quorum only after the caller has turned to another host.
Test(order_guard, an_order_without_a_quorum_in_time_is_not_carried_out) {
  Fixture fixture;
  fixture.has_quorum = false;
  cr_expect(fixture.TakeBack() == OrderResult::kUnknown);
  cr_expect(fixture.zone.is_out);
  cr_expect(fixture.now - kStart < kCallerPatience);
}

// The close of a connection that was cut comes a moment after its last bytes.
Test(order_guard, an_order_whose_caller_has_left_is_not_carried_out) {
  Fixture fixture;
  const auto is_abandoned = [&] {
    return fixture.now - kStart >= milliseconds(20);
  };
  cr_expect(fixture.TakeBack(is_abandoned) == OrderResult::kObsolete);
  cr_expect(fixture.zone.is_out);
}

// The machine was suspended with the order in its socket, and the caller's
// close is still on its way.
Test(order_guard, an_order_read_after_a_standstill_is_not_carried_out) {
  Fixture fixture;
  fixture.now += seconds(5);
  cr_expect(fixture.TakeBack() == OrderResult::kObsolete);
  fixture.standstill.OnTick(fixture.now);
  cr_expect(fixture.TakeBack() == OrderResult::kObsolete);
  cr_expect(fixture.zone.is_out);
}

}  // namespace
}  // namespace knapweedroad
