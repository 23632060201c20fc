#include "knapweedroad/host/operator_api.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/control/apply_change.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/host/change_gateway.h"
#include "knapweedroad/host/configuration_test_text.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/host/status_report.h"

namespace knapweedroad {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

enum class Fault : uint8_t {
  kNone,
  kUnreachable,  // no connection
  kLostAnswer,   // it runs the change; the answer is lost
  kIsolated,     // it reaches no quorum
  kNotReplica,
};

// Two replicas "r-1" and "r-2" that agree on one value, and a host without a
// replica that forwards to them.
struct World {
  World() {
    for (const char* name : {"r-1", "r-2"}) {
      const HostId host(name);
      ChangeGatewayOptions options;
      options.now = [this] { return this->now; };
      options.change = [this, host](const ChangeRequest& request, TimePoint) {
        if (this->faults[host] == Fault::kIsolated) {
          return ChangeOutcome{.reason = ChangeReason::kNoQuorum};
        }
        return ApplyChange(this->value, request);
      };
      options.read = [this, host](TimePoint) {
        return this->faults[host] == Fault::kIsolated
                   ? std::nullopt
                   : std::optional<ControlValue>(this->value);
      };
      this->replicas.emplace(host, std::move(options));
    }
  }

  tl::expected<std::string, NetError> Call(const HostId& host,
                                           std::string_view body,
                                           TimePoint deadline) {
    this->asked.push_back(host);
    const Fault fault = this->faults[host];
    if (fault == Fault::kUnreachable) {
      return tl::unexpected(NetError{.kind = NetErrorKind::kConnect});
    }
    ChangeGateway stranger({});
    auto reply = fault == Fault::kNotReplica
                     ? stranger.Answer(body)
                     : this->replicas.at(host).Answer(body);
    if (fault == Fault::kLostAnswer) {
      this->now = deadline;
      return tl::unexpected(
          NetError{.kind = NetErrorKind::kTimeout, .written = true});
    }
    return *reply;
  }

  ChangeGatewayOptions ForwardingOptions() {
    ChangeGatewayOptions options;
    options.replicas = [] {
      return std::vector<HostId>{HostId("r-1"), HostId("r-2")};
    };
    options.call = [this](const HostId& host, PeerMessageType,
                          std::string_view body, TimePoint deadline) {
      return this->Call(host, body, deadline);
    };
    options.now = [this] { return this->now; };
    options.pause = [this](Duration time) { this->now += time; };
    return options;
  }

  HttpResponse Handle(const HttpRequest& request) {
    OperatorApi api({.gateway = this->forwarder,
                     .status = [] { return StatusReport(); },
                     .now = [this] { return this->now; }});
    return api.Handle(request);
  }

  HttpResponse Put(std::string_view author,
                   std::string_view request_id,
                   uint64_t base,
                   int weight) {
    return this->Handle({.method = "PUT",
                         .path = "/v1/configuration",
                         .headers = Headers(author, request_id, base),
                         .body = DeploymentText(weight, "// new\n")});
  }

  HttpResponse Switch(std::string_view zone_and_way,
                      std::string_view request_id) {
    HttpHeaders headers = Headers("anna", request_id, 0);
    headers.erase("Knapweed-Base-Version");
    return this->Handle({.method = "POST",
                         .path = "/v1/zones/" + std::string(zone_and_way),
                         .headers = headers});
  }

  static HttpHeaders Headers(std::string_view author,
                             std::string_view request_id,
                             uint64_t base) {
    return {{"Knapweed-Operator", std::string(author)},
            {"Knapweed-Request-Id", std::string(request_id)},
            {"Knapweed-Base-Version", std::to_string(base)}};
  }

  bool IsOut(size_t zone) const {
    return ParseDeployment(this->value.configuration, "f")->zones[zone].out;
  }

  TimePoint now{100s};
  ControlValue value;
  std::map<HostId, Fault> faults;
  std::vector<HostId> asked;
  std::map<HostId, ChangeGateway> replicas;
  ChangeGateway forwarder{this->ForwardingOptions()};
};

void Expect(const HttpResponse& response, int status, const json& fields) {
  cr_expect_eq(response.status, status, "%s", response.body.c_str());
  const json body = json::parse(response.body, nullptr, false);
  cr_assert(body.is_object(), "%s", response.body.c_str());
  for (const auto& [key, value] : fields.items()) {
    cr_expect(body.contains(key) && body[key] == value, "%s in %s", key.c_str(),
              response.body.c_str());
  }
}

Test(OperatorApi, AcceptsAndReads) {
  World world;
  Expect(world.Handle({.path = "/v1/configuration"}), 200,
         {{"version", 0}, {"configuration", nullptr}});
  Expect(world.Put("anna", "r-1", 0, 4), 200,
         {{"result", "accepted"}, {"version", 1}, {"request_id", "r-1"}});
  const HttpResponse read = world.Handle({.path = "/v1/configuration"});
  Expect(read, 200, {{"version", 1}});
  const json body = json::parse(read.body);
  cr_expect_eq(body["configuration"]["fronts"][0]["tenants"][0]["weight"], 4);
}

Test(OperatorApi, ReadConfigurationCanBeAppliedAsItStands) {
  World world;
  world.Put("anna", "r-1", 0, 4);
  const std::string read = world.Handle({.path = "/v1/configuration"}).body;
  const HttpResponse response =
      world.Handle({.method = "PUT",
                    .path = "/v1/configuration",
                    .headers = World::Headers("anna", "r-2", 1),
                    .body = json::parse(read)["configuration"].dump()});
  Expect(response, 200, {{"version", 2}});
}

Test(OperatorApi, TellsTheLoserWhoWon) {
  // Two operators change version 0 at once. One of them must not overwrite
  // the other without knowing; he is told whose change to look at.
  World world;
  world.Put("anna", "r-4", 0, 4);
  Expect(world.Put("bert", "r-9", 0, 5), 409,
         {{"result", "rejected"},
          {"version", 1},
          {"reason", "base_version"},
          {"detail", "version 1 by anna/r-4 won"},
          {"winner", {{"operator", "anna"}, {"request_id", "r-4"}}}});
  cr_expect_eq(world.value.version, 1);
}

Test(OperatorApi, ResendThroughAnotherHostGetsTheFirstAnswer) {
  // A change is accepted, its answer lost, another change follows, and the
  // operator resends the first through another host.
  World world;
  world.Put("anna", "r-1", 0, 4);
  world.Put("bert", "r-1", 1, 5);
  world.faults[HostId("r-1")] = Fault::kUnreachable;
  Expect(world.Put("anna", "r-1", 0, 4), 200,
         {{"result", "accepted"}, {"version", 1}});
  cr_expect_eq(world.value.version, 2);
}

Test(OperatorApi, LostAnswerOfOneReplicaIsSettledByTheNext) {
  // The first replica runs the change and dies before it answers. Asked
  // again, the second one must not reject it for its own new version.
  World world;
  world.faults[HostId("r-1")] = Fault::kLostAnswer;
  Expect(world.Put("anna", "r-1", 0, 4), 200,
         {{"result", "accepted"}, {"version", 1}});
  cr_expect_eq(world.value.version, 1);
  cr_expect_eq(world.asked.size(), 2);
}

Test(OperatorApi, IsUnknownWhileNoReplicaCanSettleIt) {
  // All answers are lost, though the change has run: neither "accepted" nor
  // "rejected" may be said. The resend is told the truth.
  World world;
  world.faults[HostId("r-1")] = Fault::kLostAnswer;
  world.faults[HostId("r-2")] = Fault::kLostAnswer;
  const HttpResponse response = world.Put("anna", "r-1", 0, 4);
  Expect(response, 503, {{"result", "unknown"}, {"reason", "no_quorum"}});
  cr_expect(FindHeader(response.headers, "Retry-After") == "1");
  cr_expect_eq(world.value.version, 1);
  world.faults.clear();
  Expect(world.Put("anna", "r-1", 0, 4), 200, {{"version", 1}});
}

Test(OperatorApi, IsolatedReplicaIsPassedOver) {
  World world;
  world.faults[HostId("r-1")] = Fault::kIsolated;
  Expect(world.Put("anna", "r-1", 0, 4), 200, {{"version", 1}});
  Expect(world.Handle({.path = "/v1/configuration"}), 200, {{"version", 1}});
}

Test(OperatorApi, HostThatIsNoReplicaIsPassedOver) {
  World world;
  world.faults[HostId("r-1")] = Fault::kNotReplica;
  Expect(world.Put("anna", "r-1", 0, 4), 200, {{"version", 1}});
}

Test(OperatorApi, MinorityAnswersNoRead) {
  // A replica was cut off for an hour and still holds version 1. Read from it
  // alone, that would look current.
  World world;
  world.Put("anna", "r-1", 0, 4);
  world.faults[HostId("r-1")] = Fault::kIsolated;
  world.faults[HostId("r-2")] = Fault::kUnreachable;
  const HttpResponse response = world.Handle({.path = "/v1/configuration"});
  Expect(response, 503, {{"title", "No quorum"}});
  cr_expect(FindHeader(response.headers, "Content-Type") ==
            "application/problem+json");
}

Test(OperatorApi, BadConfigurationIsToldAllItsFaults) {
  World world;
  const HttpResponse response =
      world.Handle({.method = "PUT",
                    .path = "/v1/configuration",
                    .headers = World::Headers("anna", "r-1", 0),
                    .body = R"({"nam": "x", "zones": [], "fronts": []})"});
  cr_expect_eq(response.status, 400);
  const json body = json::parse(response.body);
  cr_expect_gt(body["errors"].size(), 2);
  cr_expect_eq(body["errors"][0]["line"], 1);
  cr_expect(world.asked.empty());
}

Test(OperatorApi, HeadersAreChecked) {
  World world;
  for (const char* header :
       {"Knapweed-Operator", "Knapweed-Request-Id", "Knapweed-Base-Version"}) {
    for (const char* value : {"", "a b", "-1x"}) {
      HttpHeaders headers = World::Headers("anna", "r-1", 0);
      headers[header] = value;
      const std::string name = header;
      if (value == std::string("-1x") && name != "Knapweed-Base-Version") {
        continue;
      }
      const HttpResponse response = world.Handle({.method = "PUT",
                                                  .path = "/v1/configuration",
                                                  .headers = headers,
                                                  .body = DeploymentText(1)});
      cr_expect_eq(response.status, 400, "%s: %s", header, value);
    }
  }
  cr_expect(world.asked.empty());
}

Test(OperatorApi, ZoneGoesOutAndIn) {
  World world;
  world.Put("anna", "r-1", 0, 4);
  Expect(world.Switch("mechelen/out", "r-2"), 200, {{"version", 2}});
  cr_expect(world.IsOut(1) && !world.IsOut(0));
  Expect(world.Switch("mechelen/in", "r-3"), 200, {{"version", 3}});
  cr_expect_not(world.IsOut(1));
}

Test(OperatorApi, ResentZoneOutDoesNotUndoALaterIn) {
  // "out" loses its answer, another operator takes the zone in again, and
  // only then does the resend of "out" arrive.
  World world;
  world.Put("anna", "r-1", 0, 4);
  world.Switch("mechelen/out", "r-2");
  world.Switch("mechelen/in", "r-3");
  Expect(world.Switch("mechelen/out", "r-2"), 200, {{"version", 2}});
  cr_expect_not(world.IsOut(1));
}

Test(OperatorApi, ZoneThatIsOutAlreadyGetsAVersionFromWhichItHolds) {
  World world;
  world.Put("anna", "r-1", 0, 4);
  world.Switch("mechelen/out", "r-2");
  Expect(world.Switch("mechelen/out", "r-3"), 200,
         {{"result", "accepted"}, {"version", 3}});
  cr_expect(world.IsOut(1));
}

Test(OperatorApi, UnknownZoneIsNotFound) {
  World world;
  Expect(world.Switch("mechelen/out", "r-1"), 404, {{"result", "rejected"}});
  world.Put("anna", "r-2", 0, 4);
  Expect(world.Switch("gent/out", "r-3"), 404,
         {{"result", "rejected"},
          {"detail", "the applied configuration has no zone 'gent'"}});
  cr_expect_eq(world.value.version, 1);
}

Test(OperatorApi, RequestIdOfAnotherChangeIsRejected) {
  World world;
  world.Put("anna", "r-1", 0, 4);
  Expect(world.Put("anna", "r-1", 1, 5), 409,
         {{"reason", "request_id_reused"}});
  Expect(world.Switch("mechelen/out", "r-2"), 200, {{"version", 2}});
  Expect(world.Switch("mechelen/in", "r-2"), 409,
         {{"reason", "request_id_reused"}});
  cr_expect(world.IsOut(1));
}

Test(OperatorApi, ReplicaRefusesWhatItCannotRead) {
  // A host of a newer release took a configuration with a key that this
  // replica doesn't know; agreed, it could be in force on none of its kind.
  World world;
  const ChangeOutcome outcome =
      world.replicas.at(HostId("r-1"))
          .Change({.author = {OperatorId("anna"), RequestId("r-1")},
                   .base_version = 0,
                   .change = WholeConfiguration{.text = R"({"later": 1})"}},
                  world.now + 1s);
  cr_expect(outcome.result == ChangeResult::kRejected);
  cr_expect_eq(world.value.version, 0);
}

Test(OperatorApi, PathsAndMethodsAreTold) {
  World world;
  cr_expect_eq(world.Handle({.path = "/v1/nothing"}).status, 404);
  cr_expect_eq(world.Handle({.path = "/v1/zones/leuven/up"}).status, 404);
  cr_expect_eq(world.Handle({.path = "/v1/zones/leuven/out"}).status, 405);
  cr_expect_eq(
      world.Handle({.method = "POST", .path = "/v1/configuration"}).status,
      405);
  cr_expect_eq(world.Handle({.path = "/v1/status"}).status, 200);
}

Test(OperatorApi, MovesAReplicaByOneRequest) {
  World world;
  std::vector<MoveRequest> moves;
  OperatorApi api({.gateway = world.forwarder,
                   .move =
                       [&](const MoveRequest& move, TimePoint) {
                         moves.push_back(move);
                         return ChangeOutcome{.result = ChangeResult::kAccepted,
                                              .version = 7};
                       },
                   .now = [] { return TimePoint(); }});
  const auto post = [&](const char* words) {
    return api.Handle({.method = "POST",
                       .path = "/v1/replicas/" + std::string(words),
                       .headers = World::Headers("anna", "m-1", 0)});
  };
  Expect(post("replace/a/b"), 200, {{"result", "accepted"}});
  cr_assert(moves.back().leaving == HostId("a"));
  cr_assert(moves.back().joining == HostId("b"));
  cr_assert(moves.back().author.request_id == RequestId("m-1"));
  Expect(post("add/c"), 200, {{"request_id", "m-1"}});
  cr_assert(!moves.back().leaving && moves.back().joining == HostId("c"));
  Expect(post("remove/c"), 200, {});
  cr_assert(!moves.back().joining && moves.back().leaving == HostId("c"));
  Expect(post("give-up"), 200, {});
  cr_assert(moves.back().give_up);
  for (const char* words : {"", "add", "add/", "replace/a", "give-up/a"}) {
    cr_expect_eq(post(words).status, 404);
  }
  cr_assert(moves.size() == 4);
}

}  // namespace
}  // namespace knapweedroad
