#include "knapweedroad/edge/loss_sharing.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/query_of_death_detector.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr uint16_t kPort = 27890;
constexpr RequestFingerprint kRequest{7};

// The part of an entry host that shares losses.
class Host {
 public:
  Host(Runtime& runtime,
       const EntryHostRecord& record,
       const std::vector<EntryHostRecord>& all,
       double max_burst)
      : sharing(
            runtime,
            {.self = record.host,
             .zone = record.zone,
             .detector = this->detector,
             .entry_hosts = [&all]() -> const std::vector<EntryHostRecord>& {
               return all;
             },
             .messages_per_second = 0,
             .max_burst = max_burst}),
        server(runtime,
               {.endpoint = record.peer_address,
                .handler = [this](PeerMessageType, const std::string& body) {
                  return this->sharing.OnReport(body);
                }}) {
    cr_assert(this->server.Start().has_value());
  }

  void Lose(int count) {
    for (int i = 0; i < count; ++i) {
      this->detector.OnEnded(
          kRequest, {ServiceId("s"), TargetId(std::to_string(i))},
          AttemptFate::kLost, Runtime::Now(), Runtime::Now());
    }
  }

  QueryOfDeathDetector detector{{}};
  LossSharing sharing;
  PeerServer server;
};

// Hosts a0 and a1 of zone a, b0 to b3 of zone b.
struct World {
  World(Runtime& runtime, int network, double max_burst) {
    const std::string ip = "127.0." + std::to_string(network) + ".";
    for (int i = 0; i < 6; ++i) {
      const bool is_a = i < 2;
      const std::string name =
          (is_a ? "a" : "b") + std::to_string(is_a ? i : i - 2);
      this->records.push_back(
          {.host = HostId(name),
           .zone = ZoneId(is_a ? "a" : "b"),
           .peer_address = {ip + std::to_string(i + 1), kPort}});
    }
    for (const EntryHostRecord& record : this->records) {
      this->hosts.push_back(
          std::make_unique<Host>(runtime, record, this->records, max_burst));
    }
  }

  size_t SuspectCount() const {
    size_t count = 0;
    for (const auto& host : this->hosts) {
      count += host->detector.suspect_count();
    }
    return count;
  }

  std::vector<EntryHostRecord> records;
  std::vector<std::unique_ptr<Host>> hosts;
};

void InWorld(int network,
             double max_burst,
             const std::function<void(World&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      World world(runtime, network, max_burst);
      story(world);
    }
    runtime.Stop();
  });
  runtime.Run();
}

bool WaitFor(const std::function<bool()>& is_done) {
  const TimePoint give_up = Runtime::Now() + 30s;
  while (!is_done() && Runtime::Now() < give_up) {
    Runtime::SleepFor(1ms);
  }
  return is_done();
}

// Guards against a caller's repeat at any other host that begins anew.
Test(loss_sharing, a_report_reaches_all_hosts_of_all_zones, .timeout = 60) {
  InWorld(61, 500, [](World& world) {
    world.hosts[0]->Lose(2);
    world.hosts[0]->sharing.Share(kRequest);
    cr_expect(WaitFor([&] { return world.SuspectCount() == 6; }), "%zu",
              world.SuspectCount());
    // One of its own zone and two of the other.
    cr_expect(world.hosts[0]->sharing.sent() == 3);
  });
}

// Guards against an outage in which each failed request costs messages to all
// hosts.
Test(loss_sharing, messages_are_limited, .timeout = 60) {
  InWorld(62, 6, [](World& world) {
    Host& host = *world.hosts[0];
    host.Lose(1);
    host.sharing.Share(kRequest);
    // A single loss leaves half to others.
    host.sharing.Share(kRequest);
    cr_expect(host.sharing.sent() == 3 && host.sharing.dropped() == 3);
    host.Lose(2);
    host.sharing.Share(kRequest);
    host.sharing.Share(kRequest);
    cr_expect(host.sharing.sent() == 6 && host.sharing.dropped() == 6);
    cr_expect(!host.sharing.OnReport("?").has_value());
    Runtime::SleepFor(50ms);
  });
}

}  // namespace
}  // namespace knapweedroad
