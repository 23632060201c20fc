#include "knapweedroad/edge/quota_client.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kFirst("control-1");
const HostId kSecond("control-2");
const AccountId kAccount("acme");

// A client and control hosts that answer as the test says.
struct World {
  using Answer = std::function<std::optional<PermitReply>(const PermitCall&)>;

  World() {
    this->client = std::make_unique<QuotaClient>(
        this->runtime,
        QuotaClientOptions{
            .responsive_hosts = [this] { return this->responsive; },
            .call =
                [this](const HostId& host, const PermitCall& call, TimePoint) {
                  this->calls.emplace_back(host, call);
                  const Answer answer = this->answers[host];
                  return answer ? answer(call) : GrantAll(call);
                },
            .boot_now = [this] { return this->boot; }});
  }

  static std::optional<PermitReply> GrantAll(const PermitCall& call) {
    PermitReply reply;
    for (const PermitRequest& request : call.requests) {
      reply.grants.push_back({.granted = request.count});
    }
    return reply;
  }

  void Take() {
    this->client->Take(kAccount, [this](const QuotaDecision& decision) {
      this->decisions.push_back(decision);
    });
  }

  // Waits until there are so many decisions; false if there never are.
  bool HasDecided(size_t count) {
    for (int i = 0; i < 2000 && this->decisions.size() < count; ++i) {
      Runtime::SleepFor(1ms);
    }
    return this->decisions.size() == count;
  }

  int Count(QuotaOutcome outcome) const {
    return static_cast<int>(
        std::ranges::count(this->decisions, outcome, &QuotaDecision::outcome));
  }

  Runtime runtime;
  std::vector<HostId> responsive = {kFirst, kSecond};
  std::map<HostId, Answer> answers;
  BootTime boot{1h};
  std::vector<std::pair<HostId, PermitCall>> calls;
  std::vector<QuotaDecision> decisions;
  std::unique_ptr<QuotaClient> client;
};

std::optional<PermitReply> NeverInTime(const PermitCall&) {
  Runtime::SleepFor(300ms);
  return std::nullopt;
}

// Guards against one message for each of the requests that arrive together.
Test(quota_client, questions_of_a_moment_share_a_call) {
  World world;
  for (int i = 0; i < 5; ++i) {
    world.Take();
  }
  cr_assert(world.HasDecided(5));
  cr_expect(world.Count(QuotaOutcome::kGranted) == 5);
  cr_assert(world.calls.size() == 1);
  cr_expect(world.calls[0].second.requests[0].count == 5);
}

// Guards against a 503 when one reply is lost.
Test(quota_client, a_lost_reply_is_made_up_for_by_another_host) {
  World world;
  world.answers[kFirst] = NeverInTime;
  world.Take();
  cr_assert(world.HasDecided(1));
  cr_expect(world.Count(QuotaOutcome::kGranted) == 1);
  cr_expect(world.calls.back().first == kSecond);
  cr_expect(world.client->counts().retries == 1);
}

// Guards against a request that waits forever.
Test(quota_client, without_any_reply_the_quota_is_unknown) {
  World world;
  world.answers[kFirst] = NeverInTime;
  world.answers[kSecond] = NeverInTime;
  world.Take();
  cr_assert(world.HasDecided(1));
  cr_expect(world.Count(QuotaOutcome::kUnknown) == 1);
  cr_expect(world.decisions[0].retry_after > 0ms);
  cr_expect(world.calls.size() == 2);
}

// Guards against a wait for hosts that are all known to be gone.
Test(quota_client, without_a_responsive_host_no_call_is_made) {
  World world;
  world.responsive.clear();
  world.Take();
  cr_assert(world.HasDecided(1));
  cr_expect(world.Count(QuotaOutcome::kUnknown) == 1);
  cr_expect(world.calls.empty());
}

// Guards against tokens lost to a slow control host: two have granted the same
// question, and the permit that isn't needed goes back where it came from.
Test(quota_client, the_permit_of_a_late_reply_goes_back_to_its_host) {
  World world;
  world.answers[kFirst] = [](const PermitCall& call) {
    Runtime::SleepFor(120ms);
    return World::GrantAll(call);
  };
  world.Take();
  cr_assert(world.HasDecided(1));
  for (int i = 0; i < 1000 && world.calls.size() < 3; ++i) {
    Runtime::SleepFor(1ms);
  }
  cr_assert(world.calls.size() == 3);
  cr_expect(world.calls[2].first == kFirst);
  cr_assert(world.calls[2].second.requests.size() == 1);
  cr_expect(world.calls[2].second.requests[0].count == 0);
  cr_expect(world.calls[2].second.requests[0].returned == 1);
  cr_expect(world.decisions.size() == 1);
}

// Guards against a permit that is used after its lifetime because this host was
// suspended while it waited for the reply.
Test(quota_client, a_permit_past_its_lifetime_is_not_used) {
  World world;
  int answered = 0;
  world.answers[kFirst] = [&](const PermitCall& call) {
    if (++answered == 1) {
      world.boot += kPermitLifetime;
    }
    return World::GrantAll(call);
  };
  world.Take();
  cr_assert(world.HasDecided(1));
  cr_expect(world.Count(QuotaOutcome::kGranted) == 1);
  cr_expect(answered == 2);
  cr_expect(world.client->counts().discarded == 1);
}

// Guards against a token that is spent on a request that was rejected for lack
// of capacity.
Test(quota_client, a_returned_permit_goes_with_the_next_call) {
  World world;
  world.Take();
  cr_assert(world.HasDecided(1));
  world.client->Return(kAccount);
  world.Take();
  cr_assert(world.HasDecided(2));
  cr_assert(world.calls.size() == 2);
  cr_expect(world.calls[1].second.requests[0].returned == 1);
  cr_expect(world.calls[1].second.requests[0].count == 1);
}

// Guards against a permit that comes back after its pool has long counted it as
// spent.
Test(quota_client, an_old_returned_permit_is_dropped) {
  World world;
  world.Take();
  cr_assert(world.HasDecided(1));
  world.client->Return(kAccount);
  world.boot += kPermitLifetime;
  world.Take();
  cr_assert(world.HasDecided(2));
  cr_assert(world.calls.size() == 2);
  cr_expect(world.calls[1].second.requests[0].returned == 0);
}

}  // namespace
}  // namespace knapweedroad
