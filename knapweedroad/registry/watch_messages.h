// How hosts follow a control host: one call that waits for news.
//
//   WatchCall call{.follower = name, .epoch = epoch, .revision = revision};
//   WatchReply reply = ...;   // at once if there is news, else after a while

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
  // Of an entry host.
  ZoneId zone;
  Endpoint peer_address;
  // Of the control host's process that the last reply came from; zero: none.
  uint64_t epoch = 0;
  // What the follower has of it: targets, and the list of hosts.
  uint64_t revision = 0;
  uint64_t hosts_revision = 0;
  // The agreed version that the follower has in force.
  uint64_t agreed_version = 0;
  // Whether the follower is an entry host of the same zone: only those share
  // what they see, as a target may do well for one zone and not for another.
  bool shares_outcomes = false;
  // What the follower has of the list of outliers, and whether it was
  // told that the zone is cut off.
  uint64_t outliers_revision = 0;
  bool received_is_cut_off = false;
  bool received_has_full_view = false;
  // What it has seen since its last call.
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
  // Of the control host that replies.
  ZoneId zone;
  uint64_t epoch = 0;
  uint64_t revision = 0;
  uint64_t hosts_revision = 0;
  // Known to this control host; pulled with PullCall where it is newer.
  uint64_t agreed_version = 0;
  std::vector<TargetRecord> targets;
  // Absent where the follower has this list.
  bool has_hosts = false;
  std::vector<ControlHostRecord> control_hosts;
  // For control hosts the entry hosts that follow this control host itself, for
  // entry hosts all that it has heard of.
  ListDelta<EntryHostRecord, HostId> entry_hosts;
  // Whether this control host has lost those of all other zones.
  bool is_cut_off = false;
  // Whether it hears all other control hosts, so that its news is whole.
  bool has_full_view = false;
  // Whether a quorum of the replicas answers it.
  bool has_quorum = false;
  // Absent where the follower has this list, or doesn't share outcomes. For
  // entry hosts all that is listed; for control hosts what this zone has seen.
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
  // Only a version above this one is wanted.
  uint64_t held_version = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->held_version);
  }
};

struct PullReply {
  uint64_t agreed_version = 0;
  // Empty where there is nothing newer.
  std::string agreed_text;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->agreed_version, this->agreed_text);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_WATCH_MESSAGES_H_
