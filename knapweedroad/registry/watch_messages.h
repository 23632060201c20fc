// The messages by which hosts follow a control host: a long-polling call that
// returns when there are changes.
//
//   WatchCall call{.follower = name, .epoch = epoch, .revision = revision};
//   WatchReply reply = ...;  // at once if there are changes, else after a
//   while

#ifndef KNAPWEEDROAD_REGISTRY_WATCH_MESSAGES_H_
#define KNAPWEEDROAD_REGISTRY_WATCH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/registry/target_outcomes.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/registry/versioned_list.h"

namespace knapweedroad {

struct WatchCall {
  HostId follower;
  FollowerRole role = FollowerRole::kEntry;
  // The zone and address of the follower, if it is an entry host.
  ZoneId zone;
  Endpoint peer_address;
  // Identifies the control host process that sent the last reply; zero if none
  // did.
  uint64_t epoch = 0;
  // The revisions that the follower has received: of the targets, and of the
  // list of hosts.
  uint64_t revision = 0;
  uint64_t hosts_revision = 0;
  // The version of the agreed state that the follower applies.
  uint64_t agreed_version = 0;
  // Whether the follower is an entry host of the same zone. Only these share
  // outcomes, as a target may work for one zone and not for another.
  bool shares_outcomes = false;
  // The revision of the list of outliers that the follower has, and the values
  // of WatchReply::is_cut_off and has_full_view that it last received.
  uint64_t outliers_revision = 0;
  bool received_is_cut_off = false;
  bool received_has_full_view = false;
  // The outcomes recorded since its last call.
  std::vector<TargetOutcomes> outcomes;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->follower, this->role, this->zone, this->peer_address.ip,
            this->peer_address.port, this->epoch, this->revision,
            this->hosts_revision, this->agreed_version, this->shares_outcomes,
            this->outliers_revision, this->received_is_cut_off,
            this->received_has_full_view, this->outcomes);
  }
};

struct ControlHostRecord {
  HostId host;
  ZoneId zone;

  friend auto operator<=>(const ControlHostRecord&,
                          const ControlHostRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->zone);
  }
};

struct WatchReply {
  // The zone of the control host that replies.
  ZoneId zone;
  uint64_t epoch = 0;
  uint64_t revision = 0;
  uint64_t hosts_revision = 0;
  // The newest agreed version at this control host. The follower fetches it
  // with PullCall if it is newer than its own.
  uint64_t agreed_version = 0;
  std::vector<TargetRecord> targets;
  // False if the follower already has this revision; the lists of hosts are
  // then empty.
  bool has_hosts = false;
  std::vector<ControlHostRecord> control_hosts;
  // In a reply to a control host, the entry hosts that follow the sender
  // itself; in a reply to an entry host, all known entry hosts.
  ListDelta<EntryHostRecord, HostId> entry_hosts;
  // Whether this control host is disconnected from those of all other zones.
  bool is_cut_off = false;
  // Whether it reaches all other control hosts, so that its information is
  // complete.
  bool has_full_view = false;
  // Whether a quorum of the replicas answers it.
  bool has_quorum = false;
  // False if the follower already has this revision, or doesn't share outcomes.
  // `outliers` holds all listed targets for an entry host, and those that this
  // zone detected for a control host.
  bool has_outliers = false;
  uint64_t outliers_revision = 0;
  ListDelta<TargetOutlier, TargetId> outliers;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->zone, this->epoch, this->revision, this->hosts_revision,
            this->agreed_version, this->targets, this->has_hosts,
            this->control_hosts, this->entry_hosts, this->is_cut_off,
            this->has_full_view, this->has_quorum, this->has_outliers,
            this->outliers_revision, this->outliers);
  }
};

struct PullCall {
  // Only a version above this one is returned.
  uint64_t held_version = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->held_version);
  }
};

struct PullReply {
  uint64_t agreed_version = 0;
  // Empty if there is no newer version.
  std::string agreed_text;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->agreed_version, this->agreed_text);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_WATCH_MESSAGES_H_
