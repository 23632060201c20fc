#include "knapweedroad/host/control_plane.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/change_gateway.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/host/configuration_service.h"
#include "knapweedroad/host/control_links.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/host/operator_api.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/host/status_report.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/storage/storage_error.h"

namespace knapweedroad {
namespace {

// How often a replica reads through a quorum what is in force.
constexpr Duration kConfirmInterval = std::chrono::seconds(1);

}  // namespace

struct ControlPlane::State : std::enable_shared_from_this<ControlPlane::State> {
  State(Runtime& runtime, ControlPlaneOptions given);

  tl::expected<std::string, NetError> CallPeer(const HostId& host,
                                               PeerMessageType type,
                                               std::string_view body,
                                               TimePoint deadline);
  // The members as far as known here, else those of the settings.
  std::vector<HostId> Replicas() const;
  std::vector<HostId> OtherReplicas() const;
  void MakeService();
  ChangeGatewayOptions GatewayOptions();
  ConfigurationServiceOptions ConfigurationOptions();
  StatusReport Status() const;
  void ConfirmLoop();

  Runtime& runtime;
  ControlPlaneOptions options;
  std::shared_ptr<ControlReplica> replica;
  std::unique_ptr<ControlService> service;
  std::unique_ptr<ChangeGateway> gateway;
  std::unique_ptr<ConfigurationService> configuration;
  std::unique_ptr<OperatorApi> api;
};

ControlPlane::State::State(Runtime& runtime, ControlPlaneOptions given)
    : runtime(runtime), options(std::move(given)) {}

tl::expected<std::string, NetError> ControlPlane::State::CallPeer(
    const HostId& host,
    PeerMessageType type,
    std::string_view body,
    TimePoint deadline) {
  PeerClient* peer = this->options.links.Find(host);
  if (peer == nullptr) {
    return tl::unexpected(NetError{.kind = NetErrorKind::kConnect,
                                   .detail = "no host " + host.str()});
  }
  return peer->Call(type, body, deadline);
}

std::vector<HostId> ControlPlane::State::Replicas() const {
  if (this->service == nullptr || !this->service->known()) {
    return FirstReplicas(this->options.settings);
  }
  std::vector<HostId> hosts;
  for (const MemberId& member :
       this->service->known()->value.members.Everyone()) {
    hosts.push_back(member.host);
  }
  return hosts;
}

std::vector<HostId> ControlPlane::State::OtherReplicas() const {
  std::vector<HostId> hosts = this->Replicas();
  std::erase(hosts, this->options.settings.name);
  return hosts;
}

void ControlPlane::State::MakeService() {
  this->service = std::make_unique<ControlService>(
      this->runtime, ControlServiceOptions{
                         .self = this->options.settings.name,
                         .first_hosts = FirstReplicas(this->options.settings),
                         .replica = this->replica,
                         .call = ControlCallOver(this->options.links),
                         .on_chosen = [this](const ControlValue& value) {
                           this->configuration->OnControlValue(
                               value.version, value.configuration);
                         }});
}

ChangeGatewayOptions ControlPlane::State::GatewayOptions() {
  ChangeGatewayOptions made{
      .replicas = [this] { return this->OtherReplicas(); },
      .call =
          [this](const HostId& host, PeerMessageType type,
                 std::string_view body, TimePoint deadline) {
            return this->CallPeer(host, type, body, deadline);
          }};
  if (this->replica != nullptr) {
    made.change = [this](const ChangeRequest& request, TimePoint deadline) {
      return this->service->Change(request, deadline);
    };
    made.read = [this](TimePoint deadline) {
      return this->service->Read(deadline);
    };
  }
  return made;
}

ConfigurationServiceOptions ControlPlane::State::ConfigurationOptions() {
  return {
      .self = this->options.settings.name,
      .zone = this->options.settings.zone,
      .hosts = this->options.settings.hosts,
      .keeper = this->options.keeper,
      .call =
          [this](const HostId& host, PeerMessageType type,
                 std::string_view body, TimePoint deadline) {
            return this->CallPeer(host, type, body, deadline);
          },
      .spawn =
          [this](std::function<void()> task) {
            this->runtime.Spawn(std::move(task));
          },
      .read =
          [this](TimePoint deadline) { return this->gateway->Read(deadline); },
      .replicas = [this] { return this->Replicas(); }};
}

StatusReport ControlPlane::State::Status() const {
  StatusReport report{.host = this->options.settings.name,
                      .configuration = this->configuration->Age()};
  this->options.fill_status(report);
  if (this->service == nullptr || !this->service->known()) {
    return report;
  }
  const Membership& members = this->service->known()->value.members;
  const std::vector<MemberId> joining = members.Joining();
  for (const MemberId& member : members.Everyone()) {
    const bool is_self = member.host == this->options.settings.name;
    report.replicas.push_back(
        {.member = member,
         .reachable =
             is_self || this->options.view.IsAlive(member.host, Runtime::Now()),
         .joining = std::ranges::find(joining, member) != joining.end()});
  }
  return report;
}

void ControlPlane::State::ConfirmLoop() {
  while (true) {
    this->configuration->Confirm();
    Runtime::SleepFor(kConfirmInterval);
  }
}

ControlPlane::ControlPlane(Runtime& runtime, ControlPlaneOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

ControlPlane::~ControlPlane() = default;

tl::expected<void, std::string> ControlPlane::Open() {
  State& self = *this->state;
  if (self.options.settings.data_folder) {
    auto opened = ControlReplica::Open(
        self.runtime, {.host = self.options.settings.name,
                       .folder = *self.options.settings.data_folder});
    if (!opened) {
      return tl::unexpected(opened.error().path + ": " + opened.error().detail);
    }
    self.replica = std::move(*opened);
    ServeControl(self.options.links, self.replica);
    LogLine("control_replica_open").Add("member", self.replica->id()).Info();
  }
  // Also without a disk: an operator may move replicas through any host.
  self.MakeService();
  self.gateway = std::make_unique<ChangeGateway>(self.GatewayOptions());
  self.configuration =
      std::make_unique<ConfigurationService>(self.ConfigurationOptions());
  self.api = std::make_unique<OperatorApi>(OperatorApiOptions{
      .gateway = *self.gateway,
      .status = [&self] { return self.Status(); },
      .move =
          [&self](const MoveRequest& request, TimePoint deadline) {
            return self.service->Move(request, deadline);
          }});
  self.options.links.OnCall(PeerMessageType::kChange,
                            [&self](PeerMessageType, const std::string& body) {
                              return self.gateway->Answer(body);
                            });
  self.options.links.OnCall(PeerMessageType::kConfiguration,
                            [&self](PeerMessageType, const std::string& body) {
                              return self.configuration->AnswerPull(body);
                            });
  if (self.options.initial_configuration.empty()) {
    return {};
  }
  return self.configuration->SetInitial(self.options.initial_configuration);
}

void ControlPlane::CatchUp() {
  State& self = *this->state;
  const ConfigurationAge age = self.configuration->CatchUp();
  LogLine("configuration_caught_up")
      .Add("version", age.version)
      .Add("source", ToString(age.source))
      .Info();
  if (self.replica != nullptr) {
    self.runtime.Spawn([state = this->state] { state->ConfirmLoop(); });
  }
}

void ControlPlane::OnPeerVersion(const HostId& host, uint64_t version) {
  this->state->configuration->OnPeerVersion(host, version);
}

HttpResponse ControlPlane::Handle(const HttpRequest& request) {
  return this->state->api->Handle(request);
}

}  // namespace knapweedroad
