// Strict revocation over real sockets: three control hosts and one entry host
// in one process.

#include <criterion/criterion.h>
#include <stdlib.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/edge/control_host.h"
#include "knapweedroad/edge/entry_host.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr uint16_t kPeerPort = 27850;
constexpr int kControlHosts = 3;

class World {
 public:
  // Each test has a network of its own: they run side by side.
  World(Runtime& runtime, int network)
      : runtime(runtime),
        network("127.0." + std::to_string(network) + "."),
        ready_at{this->network + "9", 27853} {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (int i = 0; i < kControlHosts; ++i) {
      this->seeds.push_back({this->ControlIp(i), 27851});
    }
    for (int i = 0; i < kControlHosts; ++i) {
      const std::string data_folder = this->folder + "/" + std::to_string(i);
      this->control.push_back(std::make_unique<ControlHost>(
          runtime,
          ControlHostOptions{
              .settings = {.name = HostId(this->ControlIp(i)),
                           .zone = ZoneId("a"),
                           .control_address = this->seeds[i],
                           .peer_address = {this->ControlIp(i), kPeerPort},
                           .control_seeds = this->seeds,
                           .first_start = true,
                           .data_folder = data_folder,
                           .strict_revocation = true},
              .on_request = [](const HttpRequest&, const CallOrigin&) {
                return HttpResponse();
              }}));
      cr_assert(this->control.back()->Start().has_value());
    }
    this->entry = std::make_unique<EntryHost>(
        runtime,
        EntryHostOptions{
            .settings = {.name = HostId("entry-1"),
                         .zone = ZoneId("a"),
                         .caller_address = Endpoint{this->network + "9", 27852},
                         .ready_address = this->ready_at,
                         .peer_address = {this->network + "9", kPeerPort},
                         .metrics_port = 27854,
                         .control_seeds = this->seeds,
                         .strict_revocation = true,
                         .revocation_bound = 2s},
            .read_routing = [this](std::string_view text) {
              return this->ReadRouting(text);
            }});
    cr_assert(this->entry->Start().has_value());
  }
  ~World() { std::filesystem::remove_all(this->folder); }

  // The text is "keys" or "no keys", or can't be read.
  tl::expected<RoutingConfig, std::string> ReadRouting(std::string_view text) {
    if (text != "keys" && text != "no keys") {
      return tl::unexpected(std::string("unreadable"));
    }
    RoutingConfig config{.version = ++this->configurations};
    if (text == "keys") {
      config.accounts.emplace();
    }
    return config;
  }

  bool Put(uint64_t number, const char* text) {
    return WaitFor([&] {
      return this->control[0]->PutRouting(number, text, Runtime::Now() + 2s);
    });
  }

  int Readiness() {
    HttpClient client(this->runtime, {.endpoint = this->ready_at});
    return client.Send({.method = "GET", .path = "/ready"}, Runtime::Now() + 5s)
        .value_or(HttpResponse{.status = 0})
        .status;
  }

  bool WaitForReadiness(int status) {
    return WaitFor([&] { return this->Readiness() == status; });
  }

  static bool WaitFor(const std::function<bool()>& is_done) {
    const TimePoint give_up = Runtime::Now() + 40s;
    while (Runtime::Now() < give_up) {
      if (is_done()) {
        return true;
      }
      Runtime::SleepFor(20ms);
    }
    return false;
  }

  std::string ControlIp(int number) const {
    return this->network + std::to_string(number + 1);
  }

  Runtime& runtime;
  std::string network;
  Endpoint ready_at;
  std::string folder;
  uint64_t configurations = 0;
  std::vector<Endpoint> seeds;
  std::vector<std::unique_ptr<ControlHost>> control;
  std::unique_ptr<EntryHost> entry;
};

void InWorld(int network, const std::function<void(World&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      World world(runtime, network);
      story(world);
    }
    runtime.Stop();
  });
  runtime.Run();
}

// Guards against an entry host that keeps taking callers by the word of a
// control host which answers but has lost its quorum, and against one that
// never becomes ready where everything works.
Test(strict_revocation, host_is_ready_only_with_a_quorum, .timeout = 120) {
  InWorld(21, [](World& world) {
    cr_assert(world.Put(1, "keys"));
    cr_assert(world.WaitForReadiness(200));
    world.control[1].reset();
    world.control[2].reset();
    cr_expect(world.WaitForReadiness(503));
  });
}

// Guards against a host that is taken out of service although nobody's keys are
// checked.
Test(strict_revocation, host_without_accounts_needs_no_proof, .timeout = 120) {
  InWorld(22, [](World& world) {
    cr_assert(world.Put(1, "no keys"));
    cr_assert(world.WaitForReadiness(200));
    world.control[1].reset();
    world.control[2].reset();
    // Twice the bound.
    Runtime::SleepFor(4s);
    cr_expect(world.Readiness() == 200);
  });
}

// Guards against a configuration that can't be read and counts as known, and
// against a host that doesn't recover with the next one.
Test(strict_revocation,
     unreadable_configuration_proves_nothing,
     .timeout = 120) {
  InWorld(23, [](World& world) {
    cr_assert(world.Put(1, "keys"));
    cr_assert(world.WaitForReadiness(200));
    cr_assert(world.Put(2, "not readable"));
    cr_expect(world.WaitForReadiness(503));
    cr_assert(world.Put(3, "keys"));
    cr_expect(world.WaitForReadiness(200));
  });
}

// One of the three is the control host that the entry host follows.
void LoseControlHost(int network, int lost) {
  InWorld(network, [lost](World& world) {
    cr_assert(world.Put(1, "keys"));
    cr_assert(world.WaitForReadiness(200));
    world.control[lost].reset();
    // Twice the bound.
    Runtime::SleepFor(4s);
    cr_expect(world.WaitForReadiness(200));
  });
}

// Guards against a host that loses its proof with the control host that it
// follows, while a quorum is left.
Test(strict_revocation, proof_outlives_the_first_control_host, .timeout = 120) {
  LoseControlHost(24, 0);
}

Test(strict_revocation,
     proof_outlives_the_second_control_host,
     .timeout = 120) {
  LoseControlHost(25, 1);
}

Test(strict_revocation, proof_outlives_the_third_control_host, .timeout = 120) {
  LoseControlHost(26, 2);
}

}  // namespace
}  // namespace knapweedroad
