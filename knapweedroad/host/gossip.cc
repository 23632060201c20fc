#include "knapweedroad/host/gossip.h"

#include <string>
#include <utility>

#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/membership/holder_directory.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/membership/target_directory.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInterval = 200ms;
// A host unheard for so long is also called over TCP.
constexpr Duration kSilence = 700ms;
constexpr Duration kCallTimeout = 400ms;
// Bounds a datagram: about 150 bytes a report.
constexpr size_t kReportsEach = 100;

}  // namespace

Gossip::Gossip(Runtime& runtime, GossipOptions options)
    : runtime(runtime), options(std::move(options)) {}

void Gossip::Start() {
  this->options.links.OnDatagram(
      PeerMessageType::kHeartbeat,
      [this](std::string_view body) { this->Hear(body); });
  this->options.links.OnCall(PeerMessageType::kHeartbeat,
                             [this](PeerMessageType, const std::string& body)
                                 -> tl::expected<std::string, std::string> {
                               this->Hear(body);
                               return std::string();
                             });
  this->runtime.Spawn([this] { this->Loop(); });
}

void Gossip::SendNow() {
  Heartbeat beat{.host = this->options.settings.name,
                 .zone = this->options.settings.zone,
                 .incarnation = this->options.incarnation,
                 .sequence = ++this->sequence};
  this->options.fill(beat);
  beat.reports =
      this->options.directory.TakePendingReports(kReportsEach, Runtime::Now());
  const std::string bytes = EncodeBytes(beat);
  this->options.links.SendToAll(PeerMessageType::kHeartbeat, bytes);
  this->CallSilentHosts(bytes);
}

void Gossip::CallSilentHosts(const std::string& bytes) {
  const TimePoint now = Runtime::Now();
  for (const HostStatus& status : this->options.view.Statuses(now)) {
    PeerClient* peer = this->options.links.Find(status.host);
    if (peer == nullptr || status.silent_for < kSilence) {
      continue;
    }
    this->runtime.Spawn([this, peer, bytes, host = status.host] {
      if (peer->Call(PeerMessageType::kHeartbeat, bytes,
                     Runtime::Now() + kCallTimeout)) {
        this->options.view.OnMessage(host, Runtime::Now());
      }
    });
  }
}

void Gossip::Loop() {
  while (true) {
    this->SendNow();
    Runtime::SleepFor(kInterval);
  }
}

void Gossip::Hear(std::string_view body) {
  const auto beat = DecodeBytes<Heartbeat>(body);
  const TimePoint now = Runtime::Now();
  if (!beat || !this->options.view.OnHeartbeat(*beat, now)) {
    return;
  }
  this->options.holders.OnHeartbeat(*beat, now);
  for (const RelayedReport& aged : beat->reports) {
    if (this->options.directory.OnRelayedReport(aged, now)) {
      this->options.on_report(aged.report);
    }
  }
  this->options.on_version(beat->host, beat->configuration_version);
}

}  // namespace knapweedroad
