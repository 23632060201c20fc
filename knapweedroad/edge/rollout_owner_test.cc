#include "knapweedroad/edge/rollout_owner.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/target_registry.h"
#include "knapweedroad/rollout/rollout_messages.h"

namespace knapweedroad {
namespace {

const HostId kSelf("control-a");
const HostId kEntry("entry-1");
const ServiceId kService("search");

// The owner of one running roll-out, with warm targets of both versions and one
// entry host that reports.
struct World {
  World() {
    for (const char* const version : {"v1", "v2"}) {
      for (int i = 0; i < 3; ++i) {
        this->registry.Announce(
            {.id = TargetId(version + std::string("-") + std::to_string(i)),
             .service = kService,
             .version = VersionId(version),
             .address = {"10.0.0.1", this->next_port++},
             .slots = 4,
             .sequence = 1},
            Runtime::Now());
      }
    }
    this->owner = std::make_shared<RolloutOwner>(
        this->runtime,
        RolloutOwnerOptions{
            .self = kSelf,
            .exposure = {.share = 0.1, .slack = 50},
            .registry = this->registry,
            .entry_hosts = [] { return std::vector{kEntry}; },
            .live_control_hosts = [this] { return this->live; },
            .known_control_hosts = [this] { return this->known; },
            .has_quorum = [this] { return this->has_quorum; },
            .agree = [](const std::string&, const auto&) { return true; }});
    this->owner->SetRollouts({{.service = kService,
                               .number = 1,
                               .stable = VersionId("v1"),
                               .candidate = VersionId("v2"),
                               .ordered_ms = UnixMs(),
                               .duration_ms = 60'000,
                               .owner = kSelf}});
  }

  // The share of the candidate that the owner answers a report with.
  uint32_t Share() {
    this->owner->Tick();
    const RolloutReportReply reply = this->owner->Answer(
        {.host = kEntry,
         .epoch = 1,
         .sequence = ++this->sequence,
         .answers_number = this->sequence,
         .rollouts = {
             {.service = kService, .rollout_number = 1, .sent = 1000}}});
    cr_assert(reply.directives.size() == 1);
    return reply.directives.front().candidate_permille;
  }

  Runtime runtime;
  uint16_t next_port = 9000;
  TargetRegistry registry{{.self = kSelf}};
  std::vector<HostId> live = {kSelf, HostId("control-b"), HostId("control-c")};
  size_t known = 3;
  bool has_quorum = true;
  uint64_t sequence = 0;
  std::shared_ptr<RolloutOwner> owner;
};

// Guards against a roll-out that shows nothing of its candidate.
Test(rollout_owner, a_candidate_gets_its_share_while_a_quorum_answers) {
  World world;
  world.Share();
  cr_expect(world.Share() > 0);
}

// Guards against two owners that expose callers at the same time: a cut off one
// has forgotten the hosts that it lost, and hears most of those it remembers.
Test(rollout_owner, an_owner_without_a_quorum_exposes_nothing) {
  World world;
  world.Share();
  world.live = {kSelf, HostId("control-b")};
  world.has_quorum = false;
  cr_expect(world.Share() == 0);
}

}  // namespace
}  // namespace knapweedroad
