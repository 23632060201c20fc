// Follows some control hosts: what targets say, which hosts there are, and the
// newest agreed version.
//
//   ControlFollower follower(runtime, {.self = name, .most_links = 3, ...});
//   follower.Start();

#ifndef KNAPWEEDROAD_EDGE_CONTROL_FOLLOWER_H_
#define KNAPWEEDROAD_EDGE_CONTROL_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/wire/peer_message_type.h"

namespace knapweedroad {

class Runtime;
struct ControlHostsView;

struct ControlFollowerOptions {
  HostId self;
  // Control hosts of this zone are followed first.
  ZoneId zone;
  // Of an entry host: where other hosts reach it.
  Endpoint peer_address;
  FollowerRole role = FollowerRole::kEntry;
  // Control hosts followed at a time while none is fit to be the only one,
  // however many there are. Zero: always all of them.
  size_t most_links = 3;
  // Asked again and again: seeds may be exchanged.
  std::function<std::vector<HostId>()> seeds;
  // The agreed version in force here.
  std::function<uint64_t()> held_version;
  // What `to`, of the same zone, is still to hear of targets; absent: nothing.
  std::function<std::vector<TargetOutcomes>(const HostId& to)> take_outcomes;
  // Lists in the reply are whole.
  std::function<void(const HostId& from, const WatchReply& reply)> on_reply;
  std::function<void(uint64_t version, const std::string& text)> on_agreed;
};

class ControlFollower {
 public:
  ControlFollower(Runtime& runtime, ControlFollowerOptions options);
  ~ControlFollower();

  void Start();
  // Calls no hook any more.
  void Stop();

  // Tells what take_outcomes() has without waiting for the next call.
  void ReportSoon();

  // Control hosts that have answered lately.
  std::vector<HostId> LiveHosts() const;
  // The same with their zones, this host not among them.
  std::vector<ControlHostRecord> LiveRecords() const;
  // All control hosts known, seeds included.
  std::vector<HostId> KnownHosts() const;
  // The control hosts followed now that responded to their last call: those of
  // the own zone first, then those that a quorum answers, then by a rank that
  // differs between followers. Those that failed to confirm come last.
  std::vector<HostId> ResponsiveHosts() const;
  // Calls a control host that is followed now. Blocks the calling fiber until
  // the reply or the deadline; fails at once if the host isn't followed.
  tl::expected<std::string, NetError> Call(const HostId& host,
                                           PeerMessageType type,
                                           std::string_view body,
                                           TimePoint deadline);
  // Records whether a control host gives recent confirmations of the newest
  // version; see OnConfirmation() of ControlHostTable. While one that is
  // followed doesn't, others are followed as well.
  void NoteConfirmation(const HostId& host, bool is_confirmed);
  // How many control hosts are followed now.
  size_t followed() const;
  // What a control host makes of the others.
  ControlHostsView View() const;
  // Whether a quorum has answered lately.
  bool HasQuorum() const;
  // A control host that this host has heard of by another way.
  void Hear(const HostId& host);
  // A quorum of the replicas has answered a question asked at this time.
  void HearQuorum(TimePoint asked);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_FOLLOWER_H_
