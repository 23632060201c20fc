#include "knapweedroad/edge/gather_relay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/edge/gather_messages.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("s");

// Answers with its own record, as told.
class Target {
 public:
  Target(Runtime& runtime, std::string record)
      : record(std::move(record)),
        server(runtime,
               {.endpoint = {"127.0.0.1", 0},
                .handler = [this](const HttpRequest& request, HttpExchange&) {
                  return this->Answer(request);
                }}) {
    this->port = this->server.Start().value();
  }

  HttpResponse Answer(const HttpRequest& request) {
    ++this->requests;
    while (this->is_stalled) {
      Runtime::SleepFor(1ms);
    }
    const HeaderNames names;
    HttpResponse response{.status = this->status, .body = this->record};
    response.headers[names.request_id] =
        std::string(FindHeader(request.headers, names.request_id));
    response.headers[names.seal] = "seal-" + this->record;
    return response;
  }

  std::string record;
  int status = 200;
  bool is_stalled = false;
  int requests = 0;
  HttpServer server;
  uint16_t port = 0;
};

// A host with three targets, t0 to t2.
class World {
 public:
  World() {
    RoutingConfig config{
        .version = 1, .services = {{.name = kService, .max_connections = 100}}};
    this->balancer.SetRouting(std::make_shared<RouteTable>(config));
    for (size_t i = 0; i < 3; ++i) {
      const std::string record(16, static_cast<char>('a' + i));
      this->targets.push_back(std::make_unique<Target>(this->runtime, record));
      this->balancer.UpdateTarget(
          {.id = TargetId("t" + std::to_string(i)),
           .service = kService,
           .zone = ZoneId("z"),
           .address = {"127.0.0.1", this->targets[i]->port},
           .slots = 4,
           .started_ms = 1,
           .sequence = 1},
          Runtime::Now());
    }
  }

  static GatherCall Call(const std::vector<std::string>& targets,
                         Duration reply_within) {
    GatherCall call{.token = 7,
                    .request_token = 1,
                    .request = GatheredRequest{.method = "GET",
                                               .path = "/q/",
                                               .host = "h",
                                               .id = "id",
                                               .top_records = 2,
                                               .shards = 3},
                    .time_left_us = 60'000'000,
                    .reply_within_us = reply_within / 1us};
    for (const std::string& target : targets) {
      call.targets.emplace_back(target);
    }
    return call;
  }

  // Lets the handlers of targets end.
  void Resume() {
    for (const auto& target : this->targets) {
      target->is_stalled = false;
    }
    Runtime::SleepFor(20ms);
  }

  // Long enough that only the targets, and never the clock, decide.
  static constexpr Duration kLong = 30s;

  Runtime runtime;
  HeaderNames names;
  LoadBalancer balancer{
      LoadBalancerOptions{.self = HostId("e"), .zone = ZoneId("z")}};
  TargetLinks links{
      runtime,
      {.header_names = names, .on_idle_closed = [](const TargetId&) {}}};
  GatherRelay relay{GatherRelayOptions{.runtime = runtime,
                                       .header_names = names,
                                       .links = links,
                                       .balancer = balancer}};
  std::vector<std::unique_ptr<Target>> targets;
};

Test(gather_relay, it_merges_what_its_targets_answer, .timeout = 60) {
  World world;
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0", "t1", "t2"}, World::kLong));
  cr_expect(reply.parts.size() == 3 && reply.running == 0);
  cr_expect(reply.records == std::string(16, 'c') + std::string(16, 'b'));
  cr_expect(std::ranges::all_of(reply.parts, [](const GatheredPart& part) {
    return part.seal.starts_with("seal-");
  }));
  cr_expect(world.relay.running() == 0);
}

// Guards against a request whose every hedge carries its heads once more.
Test(gather_relay,
     a_later_call_names_the_request_of_an_earlier_one,
     .timeout = 60) {
  World world;
  world.relay.Gather(World::Call({"t0"}, World::kLong));
  GatherCall later = World::Call({"t1"}, World::kLong);
  later.request.reset();
  const GatherReply reply = world.relay.Gather(later);
  cr_expect(reply.parts.size() == 1 && reply.records == std::string(16, 'b'));
}

Test(gather_relay, a_request_that_was_never_told_is_unknown, .timeout = 60) {
  World world;
  GatherCall call = World::Call({"t0"}, World::kLong);
  call.request.reset();
  cr_expect(world.relay.Gather(call).is_unknown);
  cr_expect(world.targets[0]->requests == 0);
}

// A status that is none comes back as an answer from the host that gathers.
Test(gather_relay, an_odd_status_is_no_answer, .timeout = 60) {
  World world;
  world.targets[0]->status = 600;
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0"}, World::kLong));
  cr_assert(reply.parts.size() == 1);
  cr_expect(reply.parts[0].kind == static_cast<uint8_t>(ReplyKind::kBroken));
  cr_expect(reply.records.empty());
}

// Guards against a shard that is asked again only when its hedge is due
// although its target has refused long before.
Test(gather_relay, a_failure_is_told_at_once, .timeout = 60) {
  World world;
  world.targets[0]->status = 500;
  world.targets[1]->is_stalled = true;
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0", "t1"}, World::kLong));
  cr_expect(reply.running == 1);
  cr_assert(reply.parts.size() == 1);
  cr_expect(reply.parts[0].status == 500);
  cr_expect(reply.records.empty());
  world.targets[1]->is_stalled = false;
  const GatherReply rest = world.relay.More(7);
  cr_expect(rest.parts.size() == 1 && rest.running == 0);
  cr_expect(rest.records == std::string(16, 'b'));
  cr_expect(world.relay.More(7).parts.empty());
}

// Answers the pattern of a few parts of many: most of their records are not
// among the answer's greatest.
Test(gather_relay,
     records_that_are_hardly_needed_are_held_for_a_moment,
     .timeout = 60) {
  World world;
  for (const auto& target : world.targets) {
    std::string records;
    for (int i = 0; i < 20; ++i) {
      records +=
          std::string(15, static_cast<char>('z' - i)) + target->record[0];
    }
    target->record = records;
  }
  GatherCall call = World::Call({"t0", "t1", "t2"}, World::kLong);
  call.request->top_records = 50;
  call.request->shards = 60;
  const GatherReply reply = world.relay.Gather(call);
  const size_t sent = reply.records.size() / 16;
  cr_expect(sent < 20, "%zu", sent);
  cr_expect(sent + reply.held == 50);
  const auto rest = world.relay.Held(7, reply.batch);
  cr_assert(rest.has_value());
  cr_expect(rest->size() == reply.held * size_t{16});
  cr_expect(*rest < reply.records.substr((sent - 1) * 16));
  cr_expect(!world.relay.Held(7, reply.batch + 1).has_value());
  world.relay.Sweep(Runtime::Now() + 10s);
  cr_expect(!world.relay.Held(7, reply.batch).has_value());
}

// Guards against parts that wait for the one target that pauses.
Test(gather_relay,
     what_is_there_in_time_does_not_wait_for_the_rest,
     .timeout = 60) {
  World world;
  world.targets[2]->is_stalled = true;
  GatherReply reply =
      world.relay.Gather(World::Call({"t0", "t1", "t2"}, 200ms));
  while (reply.parts.size() < 2) {
    GatherReply more = world.relay.More(7);
    reply.parts.insert(reply.parts.end(), more.parts.begin(), more.parts.end());
    reply.running = more.running;
  }
  cr_expect(reply.running == 1);
  world.Resume();
}

// Guards against work for a caller who has left.
Test(gather_relay, what_nobody_waits_for_is_cut, .timeout = 60) {
  World world;
  world.targets[0]->is_stalled = true;
  world.targets[1]->status = 500;
  cr_expect(
      world.relay.Gather(World::Call({"t0", "t1"}, World::kLong)).running == 1);
  world.relay.End(7, 1ms);
  cr_expect(world.relay.running() == 0);
  Runtime::SleepFor(5ms);
  world.links.Sweep(Runtime::Now());
  cr_expect(world.links.connections() <= 1);
  cr_expect(world.relay.More(7).parts.empty());
  world.Resume();
}

Test(gather_relay, a_target_that_it_does_not_know_is_not_tried, .timeout = 60) {
  World world;
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0", "unknown"}, World::kLong));
  const auto unknown =
      std::ranges::find(reply.parts, uint16_t{1}, &GatheredPart::target);
  cr_assert(unknown != reply.parts.end());
  cr_expect(unknown->kind == kPartNotTried);
}

// Guards against targets that are pressed over their cap of connections by
// hosts which gather for many others.
Test(gather_relay,
     a_target_gets_no_more_than_this_host_may_send_it,
     .timeout = 60) {
  World world;
  RoutingConfig config{.version = 2,
                       .services = {{.name = kService, .max_connections = 1}}};
  world.balancer.SetRouting(std::make_shared<RouteTable>(config));
  world.balancer.OnSent(TargetId("t0"), Runtime::Now());
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0"}, World::kLong));
  cr_assert(reply.parts.size() == 1);
  cr_expect(reply.parts[0].kind == kPartNotTried);
  cr_expect(world.targets[0]->requests == 0);
}

Test(gather_relay, a_host_that_leaves_refuses_new_calls, .timeout = 60) {
  World world;
  world.relay.StartDraining();
  cr_expect(world.relay.Gather(World::Call({"t0"}, World::kLong)).is_refused);
  cr_expect(world.targets[0]->requests == 0);
}

// The host ends with attempts running, and parts that are there are lost.
Test(gather_relay, a_host_that_ends_returns_what_is_there, .timeout = 60) {
  World world;
  world.targets[1]->is_stalled = true;
  world.runtime.Spawn([&] {
    Runtime::SleepFor(100ms);
    world.relay.StopRunning();
  });
  const GatherReply reply =
      world.relay.Gather(World::Call({"t0", "t1"}, World::kLong));
  cr_expect(reply.running == 0);
  cr_expect(reply.records == std::string(16, 'a'));
  cr_assert(reply.parts.size() == 2);
  cr_expect(reply.parts[1].kind == static_cast<uint8_t>(ReplyKind::kBroken));
  cr_expect(world.relay.running() == 0);
  world.Resume();
}

Test(gather_relay, what_it_makes_counts_at_its_load_balancer, .timeout = 60) {
  World world;
  world.targets[0]->status = 500;
  for (int i = 0; i < 5; ++i) {
    world.relay.Gather(World::Call({"t0", "t1"}, World::kLong));
    while (world.relay.running() > 0) {
      world.relay.More(7);
    }
  }
  for (int i = 0; i < 20; ++i) {
    cr_expect(world.balancer.Pick(kService, {}, Runtime::Now()) !=
              TargetId("t0"));
  }
}

}  // namespace
}  // namespace knapweedroad
