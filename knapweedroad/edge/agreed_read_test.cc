// Reads of the agreed value through a control service whose calls are fakes.

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/edge/agreed_editor.h"
#include "knapweedroad/edge/replica_membership.h"
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

  std::map<std::string, BallotedValue> held;
};

void InRuntime(const std::function<void(Runtime&, Replicas&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    Replicas replicas;
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

// What was logged while it lived.
class LoggedLines {
 public:
  LoggedLines() {
    LogLine::SetSink(
        [this](std::string_view line) { this->lines.emplace_back(line); });
  }
  ~LoggedLines() { LogLine::SetSink(nullptr); }

  // How many lines contain all of the texts.
  ptrdiff_t Count(std::vector<std::string> texts) const {
    return std::ranges::count_if(this->lines, [&](const std::string& line) {
      return std::ranges::all_of(texts, [&](const std::string& text) {
        return line.find(text) != std::string::npos;
      });
    });
  }

 private:
  std::vector<std::string> lines;
};

const std::vector<HostId> kAll = {HostId("a"), HostId("b"), HostId("c")};

// A read that failed left no line that tells a lost quorum from other faults.
Test(agreed_read, a_failed_read_is_logged_with_the_missing_members) {
  InRuntime([](Runtime& runtime, Replicas& replicas) {
    const LoggedLines log;
    replicas.Hold("a", 5);
    replicas.silent = {"b", "c"};
    ControlService service(runtime, replicas.Options(kAll));
    AgreedEditor editor({.author = OperatorId("o"), .service = service});
    cr_assert(!editor.Read(Runtime::Now() + 20ms));
    cr_assert(!editor.Read(Runtime::Now() + 20ms));
    cr_expect(log.Count({"event=agreed_read_failed", "state=no_quorum",
                         "missing=\"b#1 c#1\""}) == 1);
    cr_expect(editor.failed_reads() == 2);
    replicas.silent.clear();
  });
}

// A change that found no quorum left no line that tells which members were
// missing.
Test(agreed_read,
     a_change_without_a_quorum_is_logged_with_the_missing_members) {
  InRuntime([](Runtime& runtime, Replicas& replicas) {
    const LoggedLines log;
    replicas.Hold("a", 5);
    replicas.silent = {"b", "c"};
    ControlService service(runtime, replicas.Options(kAll));
    ControlPeek look = service.Peek(Runtime::Now() + 20ms);
    AgreedEditor editor({.author = OperatorId("o"),
                         .service = service,
                         .last_look = [&] { return look; }});
    for (int i = 0; i < 2; ++i) {
      cr_assert(!editor.PutRouting(1, "text", Runtime::Now() + 20ms));
    }
    cr_expect(log.Count({"event=change", "accepted=0"}) == 2);
    cr_expect(log.Count({"event=change", "accepted=0", "state=no_quorum",
                         "missing=\"b#1 c#1\""}) == 1);
    replicas.silent.clear();
  });
}

// A quorum that was lost and came back left no line.
Test(agreed_read, a_lost_and_a_found_quorum_are_logged_once_each) {
  InRuntime([](Runtime& runtime, Replicas& replicas) {
    const LoggedLines log;
    for (const char* const host : {"a", "b", "c"}) {
      replicas.Hold(host, 5);
    }
    ControlService service(runtime, replicas.Options(kAll));
    ReplicaMembership membership(
        {.self = Member("a"),
         .service = service,
         .hosts = [] { return kAll; },
         .has_version = [] { return true; },
         .on_quorum = [](TimePoint) {},
         .on_chosen = [](uint64_t, const std::string&) {}});
    bool is_over = false;
    runtime.Spawn([&] {
      membership.Run();
      is_over = true;
    });
    const auto await = [&](const std::string& event) {
      const TimePoint give_up = Runtime::Now() + 20s;
      while (log.Count({event}) == 0 && Runtime::Now() < give_up) {
        Runtime::SleepFor(1ms);
      }
    };
    await("event=quorum_found");
    replicas.silent = {"b", "c"};
    await("event=quorum_lost");
    replicas.silent.clear();
    membership.Stop();
    while (!is_over) {
      Runtime::SleepFor(1ms);
    }
    cr_expect(log.Count({"event=quorum_found", "state=chosen"}) == 1);
    cr_expect(log.Count({"event=quorum_lost", "state=no_quorum",
                         "missing=\"b#1 c#1\""}) == 1);
    cr_expect(membership.last_look().newest.has_value());
  });
}

}  // namespace
}  // namespace knapweedroad
