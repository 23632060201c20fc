// Brings each agreed configuration into force on this host, and passes it on.
//
//   ConfigurationService service({.self = name, .keeper = keeper, ...});
//   auto checked = service.SetInitial(text);
//   service.CatchUp();                             // before it is ready
//   service.OnControlValue(8, text);               // chosen by control
//   service.OnPeerVersion(host, 8);                // of a heartbeat
//
// A control replica learns a version from control; every other host hears of it
// in a heartbeat of whoever has it, and pulls it from there: so each host that
// has a version is a relay of it.

#ifndef KNAPWEEDROAD_HOST_CONFIGURATION_SERVICE_H_
#define KNAPWEEDROAD_HOST_CONFIGURATION_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/host/change_call.h"
#include "knapweedroad/host/configuration_age.h"
#include "knapweedroad/host/peer_call.h"

namespace knapweedroad {

class ConfigurationKeeper;
struct PeerSettings;

struct ConfigurationServiceOptions {
  HostId self;
  ZoneId zone;
  // All hosts of the deployment; this one is passed over.
  std::vector<PeerSettings> hosts;
  // Outlives the service, as the service does every task it spawns.
  ConfigurationKeeper& keeper;
  PeerCall call;
  // Runs the task in a fiber of its own.
  std::function<void(std::function<void()>)> spawn;
  // A read through a quorum; see ChangeGateway::Read.
  std::function<std::optional<AgreedConfiguration>(TimePoint deadline)> read;
  // Hosts of the control replicas, this one's included.
  std::function<std::vector<HostId>()> replicas;
  // The process's clock and sleep unless set.
  std::function<TimePoint()> now;
  std::function<void(Duration)> pause;
  // For one answer of a peer.
  Duration pull_timeout = std::chrono::milliseconds(500);
  // After a round in which no peer gave a newer version.
  Duration retry_pause = std::chrono::milliseconds(200);
  // For control's answer while the host starts, and for one of Confirm().
  Duration control_wait = std::chrono::seconds(2);
};

class ConfigurationService {
 public:
  explicit ConfigurationService(ConfigurationServiceOptions options);
  ~ConfigurationService();

  // The host's own file, for CatchUp(). The error says what is wrong with it.
  tl::expected<void, std::string> SetInitial(std::string text);

  // Blocks the calling fiber until control has said what is in force or, where
  // it can't be reached, the peers have: those of the zone, then all others.
  // Ends after control_wait and twice pull_timeout at the latest, and only then
  // puts the initial file into force if nothing agreed has been found; Age()
  // says so. Guards against a host that goes back in its first moments: one
  // that starts again would serve with its file until control has answered,
  // and send work to a zone that operators took out.
  ConfigurationAge CatchUp();

  // The value is known to be chosen. One that is only accepted by this host's
  // replica may still lose, and a host that had put it into force would go
  // back.
  void OnControlValue(uint64_t version, const std::string& text);

  // The host says that it has this version in force.
  void OnPeerVersion(const HostId& host, uint64_t version);

  // Reads through a quorum; to be called once a second on control replicas.
  // Guards against a version that was accepted and is in force nowhere: the
  // one host that knew it to be chosen died before it told any other.
  void Confirm();

  // Answers a ConfigurationPull by a ConfigurationPush.
  tl::expected<std::string, std::string> AnswerPull(std::string_view body);

  ConfigurationAge Age() const;

 private:
  // The bytes of one host's answer, put into force if they are newer.
  void PullFrom(const HostId& host, uint64_t have_version);
  void PullFromAll(const std::vector<HostId>& hosts);
  void PullRound();
  void PutInitial();
  // Hosts that have a newer version than this one; the own zone's first.
  std::vector<HostId> Relays() const;
  std::vector<HostId> Others(bool in_own_zone) const;
  std::optional<TimePoint> MajorityHeard() const;

  struct Peer {
    uint64_t version = 0;
    TimePoint heard_at{};
  };

  ConfigurationServiceOptions options;
  std::string initial;
  ConfigurationSource source = ConfigurationSource::kNone;
  std::map<HostId, Peer> peers;
  uint64_t newest_heard = 0;
  std::optional<TimePoint> confirmed_at;
  bool pulling = false;
  TimePoint next_round{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONFIGURATION_SERVICE_H_
