#include "knapweedroad/edge/quorum_confirmer.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

// For what must happen, also on a machine that stands still for seconds.
constexpr Duration kPatience = 60s;

// Three control hosts with real files in one process, each with a confirmer.
class Deployment {
 public:
  explicit Deployment(Runtime& runtime) : runtime(runtime) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (const char* const host : {"a", "b", "c"}) {
      auto replica = ControlReplica::Open(
          runtime, {.host = HostId(host), .folder = this->folder + "/" + host});
      cr_assert(replica.has_value());
      this->replicas[host] = *std::move(replica);
    }
    for (const char* const host : {"a", "b", "c"}) {
      this->services[host] = std::make_unique<ControlService>(
          runtime,
          ControlServiceOptions{
              .self = HostId(host),
              .first_hosts = {HostId("a"), HostId("b"), HostId("c")},
              .replica = this->replicas[host],
              .call = [this, host](const HostId& to, const std::string& message,
                                   TimePoint) {
                return this->Call(host, to.str(), message);
              }});
    }
  }
  ~Deployment() {
    for (const auto& [host, confirmer] : this->confirmers) {
      confirmer->Stop();
    }
    while (this->running > 0) {
      Runtime::SleepFor(1ms);
    }
    this->services.clear();
    std::filesystem::remove_all(this->folder);
  }

  QuorumConfirmer& StartConfirmer(const std::string& host) {
    auto& confirmer = this->confirmers[host];
    confirmer = std::make_unique<QuorumConfirmer>(QuorumConfirmerOptions{
        .service = *this->services[host],
        .is_wanted =
            [this, host] {
              ++this->rounds[host];
              return this->is_wanted;
            },
        .on_chosen =
            [this](uint64_t version, const std::string& text) {
              this->chosen[version] = text;
            },
        .interval = 5ms});
    ++this->running;
    this->runtime.Spawn([this, &confirmer = *confirmer] {
      confirmer.Run();
      --this->running;
    });
    return *confirmer;
  }

  ChangeOutcome Change(const char* host,
                       const char* text,
                       uint64_t base,
                       Duration timeout = kPatience) {
    return this->services[host]->Change(
        {.author = {OperatorId("anna"), RequestId(text)},
         .base_version = base,
         .configuration = text},
        Runtime::Now() + timeout);
  }

  // Lets whole rounds of the host's confirmer pass.
  void PassRounds(const std::string& host, int count) {
    const int end = this->rounds[host] + count;
    while (this->rounds[host] < end) {
      Runtime::SleepFor(1ms);
    }
  }

  // These hosts reach only each other.
  std::set<std::string> cut_off;
  // Requests that no host but the sender receives.
  std::function<bool(const ControlMessage&)> is_dropped;
  bool is_wanted = true;
  std::map<uint64_t, std::string> chosen;

 private:
  tl::expected<std::string, std::string> Call(const std::string& from,
                                              const std::string& to,
                                              const std::string& message) {
    const auto decoded = DecodeControlMessage(message);
    if (this->cut_off.contains(from) != this->cut_off.contains(to) ||
        (this->is_dropped && decoded && this->is_dropped(*decoded))) {
      return tl::unexpected(std::string("unreachable"));
    }
    return this->replicas[to]->OnPeerMessage(message);
  }

  Runtime& runtime;
  std::string folder;
  std::map<std::string, std::shared_ptr<ControlReplica>> replicas;
  std::map<std::string, std::unique_ptr<ControlService>> services;
  std::map<std::string, std::unique_ptr<QuorumConfirmer>> confirmers;
  std::map<std::string, int> rounds;
  int running = 0;
};

bool WaitFor(const std::function<bool()>& is_done) {
  const TimePoint give_up = Runtime::Now() + kPatience;
  while (!is_done() && Runtime::Now() < give_up) {
    Runtime::SleepFor(1ms);
  }
  return is_done();
}

// Whether the confirmer confirms the version from now on.
bool Confirms(const QuorumConfirmer& confirmer, uint64_t version) {
  const BootTime now = BootClock::now();
  return WaitFor([&] {
    return confirmer.newest() && confirmer.newest()->began > now &&
           confirmer.newest()->version == version;
  });
}

void InRuntime(const std::function<void(Runtime&, Deployment&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      Deployment deployment(runtime);
      story(runtime, deployment);
    }
    runtime.Stop();
  });
  runtime.Run();
}

// Guards against a confirmation that misses a version which was acknowledged
// before it began, and against a version that is confirmed before this host can
// tell it to others.
Test(quorum_confirmer, confirms_each_acknowledged_version) {
  InRuntime([](Runtime&, Deployment& hosts) {
    QuorumConfirmer& confirmer = hosts.StartConfirmer("b");
    for (uint64_t version = 1; version <= 5; ++version) {
      const std::string text = "r-" + std::to_string(version);
      hosts.Change("a", text.c_str(), version - 1);
      const BootTime acknowledged = BootClock::now();
      cr_assert(WaitFor([&] {
        return confirmer.newest() && confirmer.newest()->began > acknowledged;
      }));
      cr_expect(confirmer.newest()->version == version);
      cr_expect(hosts.chosen[version] == text);
    }
  });
}

// Guards against a control host that is cut off from the others and still
// claims that what it knows is the newest.
Test(quorum_confirmer, cut_off_host_confirms_nothing) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.Change("a", "r-1", 0);
    QuorumConfirmer& confirmer = hosts.StartConfirmer("a");
    cr_assert(Confirms(confirmer, 1));
    hosts.cut_off = {"a"};
    // The round that runs now may have its replies.
    hosts.PassRounds("a", 2);
    const BootTime last = confirmer.newest()->began;
    hosts.Change("b", "r-2", 1);
    hosts.PassRounds("a", 10);
    cr_expect(confirmer.newest()->began == last);
    cr_expect(confirmer.newest()->version == 1);
    hosts.cut_off.clear();
    cr_expect(Confirms(confirmer, 2));
  });
}

// Guards against confirmations without a quorum anywhere, and against
// confirmers that don't resume when there is one again.
Test(quorum_confirmer, confirmations_return_with_the_quorum) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.Change("a", "r-1", 0);
    QuorumConfirmer& confirmer = hosts.StartConfirmer("a");
    cr_assert(Confirms(confirmer, 1));
    hosts.is_dropped = [](const ControlMessage&) { return true; };
    hosts.PassRounds("a", 2);
    const BootTime last = confirmer.newest()->began;
    hosts.PassRounds("a", 10);
    cr_expect(confirmer.newest()->began == last);
    hosts.is_dropped = nullptr;
    cr_expect(Confirms(confirmer, 1));
  });
}

// Guards against a change that was left half done, after which the replicas
// hold different values and never agree by themselves.
Test(quorum_confirmer, vote_settles_a_change_left_half_done) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.Change("a", "r-1", 0);
    hosts.is_dropped = [](const ControlMessage& message) {
      return std::holds_alternative<AcceptRequest>(message);
    };
    const ChangeOutcome half = hosts.Change("a", "r-2", 1, 200ms);
    cr_assert(half.result == ChangeResult::kUnknown);
    hosts.is_dropped = nullptr;
    QuorumConfirmer& confirmer = hosts.StartConfirmer("b");
    cr_expect(Confirms(confirmer, 2));
  });
}

// Guards against confirmations that queue behind a change of the same host
// which waits for replies.
Test(quorum_confirmer, confirmations_do_not_wait_for_changes) {
  InRuntime([](Runtime& runtime, Deployment& hosts) {
    hosts.Change("a", "r-1", 0);
    QuorumConfirmer& confirmer = hosts.StartConfirmer("a");
    cr_assert(Confirms(confirmer, 1));
    hosts.is_dropped = [](const ControlMessage& message) {
      return std::holds_alternative<PrepareRequest>(message);
    };
    bool is_done = false;
    runtime.Spawn([&] {
      hosts.Change("a", "r-2", 1, kPatience * 2);
      is_done = true;
    });
    Runtime::SleepFor(1ms);
    for (int i = 0; i < 5; ++i) {
      cr_expect(Confirms(confirmer, 1));
    }
    cr_expect(not is_done);
    hosts.is_dropped = nullptr;
    cr_assert(WaitFor([&] { return is_done; }));
    cr_expect(Confirms(confirmer, 2));
  });
}

// Guards against messages in deployments that don't use confirmations.
Test(quorum_confirmer, nothing_is_asked_while_it_is_not_wanted) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.Change("a", "r-1", 0);
    hosts.is_wanted = false;
    QuorumConfirmer& confirmer = hosts.StartConfirmer("a");
    hosts.PassRounds("a", 5);
    cr_expect(not confirmer.newest());
    hosts.is_wanted = true;
    cr_expect(Confirms(confirmer, 1));
  });
}

}  // namespace
}  // namespace knapweedroad
