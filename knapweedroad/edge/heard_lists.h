#ifndef KNAPWEEDROAD_EDGE_HEARD_LISTS_H_
#define KNAPWEEDROAD_EDGE_HEARD_LISTS_H_

#include <utility>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/registry/target_outcomes.h"
#include "knapweedroad/registry/versioned_list.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

// What is known of lists that a control host tells.
struct HeardLists {
  ListReplica<EntryHostRecord, HostId> entry_hosts;
  ListReplica<TargetOutlier, TargetId> outliers;

  // Makes whole lists of what has changed in them.
  void Complete(WatchReply& reply) {
    if (reply.has_hosts) {
      this->entry_hosts.Apply(std::move(reply.entry_hosts));
      reply.entry_hosts = {.is_full = true,
                           .upserted = this->entry_hosts.items()};
    }
    if (reply.has_outliers) {
      this->outliers.Apply(std::move(reply.outliers));
      reply.outliers = {.is_full = true, .upserted = this->outliers.items()};
    }
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_HEARD_LISTS_H_
