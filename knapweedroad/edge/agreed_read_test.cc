// Reads of the agreed value through a control service whose calls are fakes.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

MemberId Member(const std::string& host) {
  return {.host = HostId(host), .incarnation = 1};
}

// Three replicas that answer queries and make no promises.
class Replicas {
 public:
  explicit Replicas(Runtime& runtime) : runtime(runtime) {}

  ControlServiceOptions Options(std::vector<HostId> known_hosts) {
    return {.self = HostId("reader"),
            .first_hosts = std::move(known_hosts),
            .call = [this](const HostId& host, const std::string& message,
                           TimePoint deadline) {
              return this->Call(host.str(), message, deadline);
            }};
  }

  void Hold(const std::string& host, uint64_t round) {
    BallotedValue& value = this->held[host];
    value = {.ballot = {.round = round, .proposer = 1}};
    value.value.version = round;
    value.value.members = {.epoch = 1,
                           .current = {Member("a"), Member("b"), Member("c")}};
  }

  // Calls to these end at their deadlines.
  std::set<std::string> silent;

 private:
  tl::expected<std::string, std::string> Call(const std::string& host,
                                              const std::string& message,
                                              TimePoint deadline) {
    if (this->silent.contains(host)) {
      while (this->silent.contains(host) && Runtime::Now() < deadline) {
        Runtime::SleepFor(1ms);
      }
      return tl::unexpected(std::string("no reply"));
    }
    const auto request = DecodeControlMessage(message);
    if (!request || !std::holds_alternative<QueryRequest>(*request)) {
      return tl::unexpected(std::string("not a query"));
    }
    const BallotedValue& value = this->held[host];
    return EncodeControlMessage(PrepareReply{
        .from = Member(host), .accepted = value.ballot, .value = value.value});
  }

  Runtime& runtime;
  std::map<std::string, BallotedValue> held;
};

void InRuntime(const std::function<void(Runtime&, Replicas&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    Replicas replicas(runtime);
    story(runtime, replicas);
    runtime.Stop();
  });
  runtime.Run();
}

// A value was left half accepted and a member is down: each read of the
// configuration waited for that member before it took the vote.
Test(agreed_read,
     a_peek_at_an_undecided_value_does_not_wait_for_a_silent_host) {
  InRuntime([](Runtime& runtime, Replicas& replicas) {
    replicas.Hold("a", 5);
    replicas.Hold("b", 6);
    replicas.silent = {"c"};
    ControlService service(
        runtime, replicas.Options({HostId("a"), HostId("b"), HostId("c")}));
    const TimePoint deadline = Runtime::Now() + 10s;
    const auto peek = service.Peek(deadline, /*soon=*/true);
    cr_expect(peek.has_quorum && !peek.chosen);
    cr_expect(Runtime::Now() < deadline);
    replicas.silent.clear();
  });
}

// A host that knows one member only, as the others have been replaced since,
// found no quorum until another way told it of them.
Test(agreed_read, a_peek_asks_the_members_that_a_reply_names) {
  InRuntime([](Runtime& runtime, Replicas& replicas) {
    replicas.Hold("a", 5);
    replicas.Hold("b", 5);
    ControlService service(runtime, replicas.Options({HostId("a")}));
    const auto peek = service.Peek(Runtime::Now() + 5s);
    cr_expect(peek.chosen && peek.chosen->value.version == 5);
  });
}

}  // namespace
}  // namespace knapweedroad
