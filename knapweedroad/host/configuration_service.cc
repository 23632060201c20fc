#include "knapweedroad/host/configuration_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/configuration_push.h"

namespace knapweedroad {
namespace {

// How often a starting host looks whether its peers have answered.
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

void LogUnusable(std::string_view from, const std::string& why) {
  LogLine("configuration_unusable").Add("from", from).Add("why", why).Error();
}

}  // namespace

ConfigurationService::ConfigurationService(ConfigurationServiceOptions options)
    : options(std::move(options)) {
  if (!this->options.now) {
    this->options.now = [] { return Runtime::Now(); };
  }
  if (!this->options.pause) {
    this->options.pause = [](Duration time) { Runtime::SleepFor(time); };
  }
}

ConfigurationService::~ConfigurationService() = default;

tl::expected<void, std::string> ConfigurationService::SetInitial(
    std::string text) {
  const auto parsed = ParseDeployment(text, "initial configuration");
  if (!parsed) {
    return tl::unexpected(parsed.error().front().ToString());
  }
  this->initial = std::move(text);
  return {};
}

ConfigurationAge ConfigurationService::CatchUp() {
  this->Confirm();
  if (!this->confirmed_at) {
    this->PullFromAll(this->Others(/*in_own_zone=*/true));
    if (this->options.keeper.version() == 0) {
      this->PullFromAll(this->Others(/*in_own_zone=*/false));
    }
  }
  this->PutInitial();
  const ConfigurationAge age = this->Age();
  LogLine("configuration_at_start")
      .Add("version", age.version)
      .Add("source", ToString(age.source))
      .Add("confirmed", this->confirmed_at.has_value())
      .Info();
  return age;
}

void ConfigurationService::PutInitial() {
  if (this->source != ConfigurationSource::kNone || this->initial.empty()) {
    return;
  }
  const auto offered =
      this->options.keeper.Offer(0, this->initial, this->options.now());
  if (offered) {
    this->source = ConfigurationSource::kInitial;
  }
}

void ConfigurationService::OnControlValue(uint64_t version,
                                          const std::string& text) {
  const TimePoint now = this->options.now();
  this->confirmed_at = now;
  this->newest_heard = std::max(this->newest_heard, version);
  ConfigurationKeeper& keeper = this->options.keeper;
  if (version == 0) {
    return;
  }
  if (const auto offered = keeper.OfferAgreed(version, text, now); !offered) {
    LogUnusable("control", offered.error());
    return;
  }
  if (keeper.version() == version) {
    this->source = ConfigurationSource::kAgreed;
  }
}

void ConfigurationService::OnPeerVersion(const HostId& host, uint64_t version) {
  const TimePoint now = this->options.now();
  this->peers[host] = {.version = version, .heard_at = now};
  this->newest_heard = std::max(this->newest_heard, version);
  if (version <= this->options.keeper.version() || this->pulling ||
      now < this->next_round) {
    return;
  }
  this->pulling = true;
  this->options.spawn([this] { this->PullRound(); });
}

void ConfigurationService::Confirm() {
  if (!this->options.read) {
    return;
  }
  const auto agreed =
      this->options.read(this->options.now() + this->options.control_wait);
  if (agreed) {
    this->OnControlValue(agreed->version, agreed->text);
  }
}

tl::expected<std::string, std::string> ConfigurationService::AnswerPull(
    std::string_view body) {
  const auto pull = DecodeBytes<ConfigurationPull>(body);
  if (!pull) {
    return tl::unexpected(pull.error());
  }
  return EncodeBytes(this->options.keeper.PushFrom(pull->have_version));
}

ConfigurationAge ConfigurationService::Age() const {
  const ConfigurationKeeper& keeper = this->options.keeper;
  const TimePoint now = this->options.now();
  ConfigurationAge age{.version = keeper.version(),
                       .newest_heard = this->newest_heard,
                       .source = this->source};
  if (this->source != ConfigurationSource::kNone) {
    age.in_force_for = now - keeper.since();
  }
  for (const auto& time : {this->MajorityHeard(), this->confirmed_at}) {
    if (time) {
      age.out_of_touch_for =
          std::min(age.out_of_touch_for.value_or(Duration::max()),
                   Duration(now - *time));
    }
  }
  return age;
}

void ConfigurationService::PullFrom(const HostId& host, uint64_t have_version) {
  ConfigurationKeeper& keeper = this->options.keeper;
  const auto bytes =
      this->options.call(host, PeerMessageType::kConfiguration,
                         EncodeBytes(ConfigurationPull{have_version}),
                         this->options.now() + this->options.pull_timeout);
  if (!bytes) {
    LogLine("configuration_pull_failed")
        .Add("host", host)
        .Add("detail", bytes.error().detail)
        .Warning();
    return;
  }
  const auto push = DecodeBytes<ConfigurationPush>(*bytes);
  if (!push) {
    LogUnusable(host.str(), push.error());
    return;
  }
  // Also where a newer one came by another way while this one was waited for.
  if (push->version <= keeper.version()) {
    return;
  }
  const auto applied = keeper.Apply(*push, this->options.now());
  if (applied) {
    this->source = ConfigurationSource::kPeer;
    return;
  }
  LogUnusable(host.str(), applied.error());
  if (push->base_version != 0) {
    this->PullFrom(host, 0);
  }
}

void ConfigurationService::PullFromAll(const std::vector<HostId>& hosts) {
  const auto left = std::make_shared<size_t>(hosts.size());
  for (const HostId& host : hosts) {
    this->options.spawn([this, host, left] {
      this->PullFrom(host, 0);
      --*left;
    });
  }
  const TimePoint end = this->options.now() + this->options.pull_timeout;
  while (*left > 0 && this->options.now() < end) {
    this->options.pause(kPollInterval);
  }
}

void ConfigurationService::PullRound() {
  ConfigurationKeeper& keeper = this->options.keeper;
  for (const HostId& host : this->Relays()) {
    if (this->peers[host].version > keeper.version()) {
      this->PullFrom(host, keeper.version());
    }
  }
  this->pulling = false;
  // A peer that speaks of a version and can't hand it over isn't asked again
  // with each heartbeat of any host.
  if (!this->Relays().empty()) {
    this->next_round = this->options.now() + this->options.retry_pause;
  }
}

std::vector<HostId> ConfigurationService::Relays() const {
  std::vector<HostId> relays;
  for (const bool in_own_zone : {true, false}) {
    for (const HostId& host : this->Others(in_own_zone)) {
      const auto peer = this->peers.find(host);
      if (peer != this->peers.end() &&
          peer->second.version > this->options.keeper.version()) {
        relays.push_back(host);
      }
    }
  }
  return relays;
}

std::vector<HostId> ConfigurationService::Others(bool in_own_zone) const {
  std::vector<HostId> hosts;
  for (const PeerSettings& host : this->options.hosts) {
    if (host.name != this->options.self &&
        (host.zone == this->options.zone) == in_own_zone) {
      hosts.push_back(host.name);
    }
  }
  return hosts;
}

std::optional<TimePoint> ConfigurationService::MajorityHeard() const {
  const auto replicas =
      this->options.replicas ? this->options.replicas() : std::vector<HostId>();
  std::vector<TimePoint> heard;
  for (const HostId& host : replicas) {
    const auto peer = this->peers.find(host);
    if (host == this->options.self) {
      heard.push_back(this->options.now());
    } else if (peer != this->peers.end()) {
      heard.push_back(peer->second.heard_at);
    }
  }
  // The last moment at which each of a majority had been heard since then.
  const size_t majority = replicas.size() / 2 + 1;
  if (replicas.empty() || heard.size() < majority) {
    return std::nullopt;
  }
  std::sort(heard.rbegin(), heard.rend());
  return heard[majority - 1];
}

}  // namespace knapweedroad
