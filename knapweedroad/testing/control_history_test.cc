// Histories of concurrent changes and reads over a bad network, with crashes,
// cuts and a lost disk, checked for linearizability.

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/control/fake_cluster.h"
#include "knapweedroad/testing/linearizability.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kClients = 4;
constexpr int kRounds = 40;

constexpr std::array<const char*, 5> kHosts = {"a", "b", "c", "d", "e"};

// Clients that change and read at random hosts, one operation at a time each,
// while hosts fail.
class Scenario {
 public:
  Scenario(uint32_t seed, FakeClusterOptions options, bool move_members)
      : random(seed), cluster(std::move(options)), move_members(move_members) {
    for (int client = 0; client < kClients; ++client) {
      this->clients.push_back({.name = "client-" + std::to_string(client)});
    }
    this->cluster.AddHost("d");
    this->cluster.AddHost("e");
  }

  std::vector<HistoryOperation> Run() {
    for (int round = 0; round < kRounds; ++round) {
      for (Client& client : this->clients) {
        this->Step(client);
      }
      this->Disturb();
      if (this->move_members && this->Pick(0, 2) == 0) {
        this->MoveMember();
      }
      this->cluster.RunFor(Duration(40ms) * this->Pick(1, 6));
    }
    for (const std::string& host : this->down) {
      this->cluster.Restart(host);
    }
    this->cluster.Heal();
    this->cluster.RunFor(10s);
    for (Client& client : this->clients) {
      this->Collect(client);
    }
    this->ReadOnceMore();
    return this->history;
  }

 private:
  struct Client {
    std::string name;
    int requests = 0;
    uint64_t version = 0;
    std::optional<FakeCluster::TaskId> task;
    std::string host;
    int host_crashes = 0;
    HistoryOperation operation;
  };

  int Pick(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(this->random);
  }

  std::string PickUpHost() {
    std::string host;
    do {
      host = kHosts.at(this->Pick(0, static_cast<int>(kHosts.size()) - 1));
    } while (this->down.contains(host));
    return host;
  }

  void Step(Client& client) {
    this->Collect(client);
    if (client.task.has_value()) {
      return;
    }
    client.host = this->PickUpHost();
    client.host_crashes = this->crashes[client.host];
    HistoryOperation& operation = client.operation;
    const bool resend = operation.kind == HistoryKind::kChange &&
                        !operation.request_id.empty() && this->Pick(0, 3) != 0;
    if (resend) {
      operation.result = HistoryResult::kOpen;
      operation.end_ns = 0;
    } else if (this->Pick(0, 1) == 0) {
      operation = {.kind = HistoryKind::kRead};
    } else {
      const std::string id = "r-" + std::to_string(++client.requests);
      operation = {.kind = HistoryKind::kChange,
                   .operator_id = client.name,
                   .request_id = id,
                   .base_version = client.version,
                   .text = client.name + id};
    }
    operation.start_ns = this->cluster.now().time_since_epoch().count();
    client.task = operation.kind == HistoryKind::kRead
                      ? this->cluster.Read(client.host)
                      : this->cluster.Change(client.host, Request(operation));
  }

  static ChangeRequest Request(const HistoryOperation& operation) {
    return {.author = {OperatorId(operation.operator_id),
                       RequestId(operation.request_id)},
            .base_version = operation.base_version,
            .configuration = *operation.text};
  }

  void Collect(Client& client) {
    if (!client.task.has_value()) {
      return;
    }
    const auto& result = this->cluster.result(*client.task);
    if (!result.has_value()) {
      if (this->crashes[client.host] != client.host_crashes) {
        this->history.push_back(client.operation);
        client.task.reset();
      }
      return;
    }
    HistoryOperation& operation = client.operation;
    const ChangeOutcome& outcome = result->outcome;
    operation.end_ns =
        this->cluster.ended(*client.task).time_since_epoch().count();
    operation.version = outcome.version;
    if (outcome.result == ChangeResult::kAccepted) {
      operation.result = HistoryResult::kAccepted;
    } else if (outcome.result == ChangeResult::kRejected) {
      operation.result = HistoryResult::kRejected;
      operation.winner_operator = outcome.winner.operator_id.str();
      operation.winner_request = outcome.winner.request_id.str();
    }
    if (operation.kind == HistoryKind::kRead && result->chosen.has_value()) {
      operation.text = result->chosen->value.configuration;
    }
    client.version = std::max(client.version, outcome.version);
    this->history.push_back(operation);
    client.task.reset();
  }

  void Disturb() {
    switch (this->Pick(0, 9)) {
      case 0:
      case 1:
        if (this->down.size() < 2) {
          this->Crash(this->PickUpHost());
        }
        break;
      case 2:
        for (const char* host : kHosts) {
          this->Crash(host);
        }
        [[fallthrough]];
      case 3:
      case 4:
        for (const std::string& host : this->down) {
          this->cluster.Restart(host);
        }
        this->down.clear();
        break;
      case 5:
        this->cluster.CutOff({this->PickUpHost(), this->PickUpHost()});
        break;
      case 6:
      case 7:
        this->cluster.Heal();
        break;
      default:
        break;
    }
  }

  void Crash(const std::string& host) {
    if (this->down.insert(host).second) {
      ++this->crashes[host];
      this->cluster.Crash(host);
    }
  }

  // Carries on with the last change of members or begins another: replaces,
  // adds or removes one. What comes of it is left open.
  void MoveMember() {
    const bool begin = this->moves == 0 || this->Pick(0, 2) == 0;
    if (begin) {
      this->move = this->MakeMove();
    }
    this->cluster.ChangeMembers(this->PickUpHost(), this->move);
  }

  MembershipRequest MakeMove() {
    MembershipRequest request{
        .author = {OperatorId("mover"),
                   RequestId(std::to_string(++this->moves))}};
    const int kind = this->Pick(0, 9);
    if (kind == 0) {
      request.give_up = true;
      return request;
    }
    const auto& value = this->cluster.acceptor(this->PickUpHost())->current();
    const bool blank = !value.value.has_value();
    const Membership members = blank ? Membership() : value.value->members;
    if (kind != 1) {
      std::string host;
      for (int attempt = 0; attempt < 10; ++attempt) {
        host = this->PickUpHost();
        if (!members.FindCurrent(HostId(host)).has_value()) {
          break;
        }
      }
      request.joining = this->cluster.acceptor(host)->id();
    }
    if (kind != 2 && !members.current.empty()) {
      const int last = static_cast<int>(members.current.size()) - 1;
      request.leaving = members.current[this->Pick(0, last)].host;
    }
    return request;
  }

  // What was accepted is there at the end, at whatever host one asks.
  void ReadOnceMore() {
    for (const char* host : kHosts) {
      HistoryOperation read{
          .kind = HistoryKind::kRead,
          .start_ns = this->cluster.now().time_since_epoch().count()};
      const auto task = this->cluster.Read(host);
      this->cluster.RunFor(6s);
      const auto& result = this->cluster.result(task);
      if (result.has_value() && result->chosen.has_value()) {
        read.end_ns = this->cluster.ended(task).time_since_epoch().count();
        read.result = HistoryResult::kAccepted;
        read.version = result->outcome.version;
        read.text = result->chosen->value.configuration;
        ++this->last_reads;
      }
      this->history.push_back(read);
    }
  }

 public:
  int last_reads = 0;

  // How many steps of changes of members were taken.
  uint64_t epoch() const {
    uint64_t epoch = 0;
    for (const char* host : kHosts) {
      const auto& value = this->cluster.acceptor(host)->current().value;
      epoch = std::max(epoch, value.has_value() ? value->members.epoch : 0);
    }
    return epoch;
  }

 private:
  std::mt19937 random;
  FakeCluster cluster;
  bool move_members;
  std::vector<Client> clients;
  std::set<std::string> down;
  std::map<std::string, int> crashes;
  int moves = 0;
  MembershipRequest move;
  std::vector<HistoryOperation> history;
};

FakeClusterOptions BadNetwork(uint32_t seed) {
  return {.seed = seed,
          .hosts = {"a", "b", "c"},
          .loss = 0.05,
          .repeat = 0.05,
          .max_delay = 30ms,
          .sync_time = 10ms,
          .deadline = 2s};
}

void CheckSeeds(uint32_t first, uint32_t last, bool move_members) {
  uint64_t accepted = 0;
  uint64_t operations = 0;
  uint64_t epochs = 0;
  for (uint32_t seed = first; seed < last; ++seed) {
    Scenario scenario(seed, BadNetwork(seed), move_members);
    const auto history = scenario.Run();
    const auto checked = CheckLinearizable(history);
    cr_assert(checked.has_value(), "seed %u: %s", seed,
              checked.has_value() ? "" : checked.error().c_str());
    cr_assert(scenario.last_reads > 0, "seed %u: nobody can read", seed);
    epochs += scenario.epoch();
    for (const HistoryOperation& operation : history) {
      accepted += operation.result == HistoryResult::kAccepted;
      ++operations;
    }
  }
  cr_log_info("%lu operations, %lu accepted, %lu steps of members", operations,
              accepted, epochs);
  cr_assert(3 * accepted > operations);
}

Test(ControlHistory, IsLinearizableThroughCrashesAndCuts) {
  CheckSeeds(1, 200, /*move_members=*/false);
}

Test(ControlHistory, IsLinearizableWhileMembersChange) {
  CheckSeeds(1000, 1200, /*move_members=*/true);
}

// A replica answers, then loses power before its record is on the disk. It
// votes a second time after its restart, and an accepted change is gone.
Test(ControlHistory, ShowsWhatAnsweringBeforeTheSyncBreaks) {
  int broken = 0;
  for (uint32_t seed = 1; seed < 200; ++seed) {
    FakeClusterOptions options = BadNetwork(seed);
    options.answer_before_sync = true;
    options.sync_time = 80ms;
    options.max_delay = 5ms;
    Scenario scenario(seed, options, /*move_members=*/false);
    broken += !CheckLinearizable(scenario.Run()).has_value();
  }
  cr_assert(broken > 0);
}

}  // namespace
}  // namespace knapweedroad
