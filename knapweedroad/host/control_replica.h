// A control replica of this host: its votes, on its disk before they are told.
//
//   auto replica = ControlReplica::Open(runtime, {.host = name,
//                                                 .folder = data_folder});
//   links.OnCall(PeerMessageType::kControl, [&](auto, std::string bytes) {
//     return (*replica)->OnPeerMessage(bytes);
//   });

#ifndef KNAPWEEDROAD_HOST_CONTROL_REPLICA_H_
#define KNAPWEEDROAD_HOST_CONTROL_REPLICA_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/control/acceptor.h"
#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/storage/record_store.h"

namespace knapweedroad {

class Runtime;

struct ControlReplicaOptions {
  HostId host;
  std::string folder;
  // For tests: see RecordStoreOptions.
  std::function<bool()> sync_fails;
};

class ControlReplica {
 public:
  // Reads the folder; a blank one becomes a new member with a random
  // incarnation, synced before this returns. Blocks the thread: at start only.
  // The error names the place and the remedy.
  static tl::expected<std::unique_ptr<ControlReplica>, StorageError> Open(
      Runtime& runtime,
      ControlReplicaOptions options);

  ~ControlReplica();

  // Answers a query, a prepare or an accept; blocks the calling fiber while
  // the record is synced. Requests are answered one after the other: a query
  // that overtook a sync would tell what a crash can still undo. After a
  // failed sync nothing is answered, and the error says so, until the folder
  // could be read from the start again.
  tl::expected<std::string, std::string> OnPeerMessage(std::string_view bytes);

  // Members of a chosen value that this host has heard of.
  void Learn(const Membership& members);

  const MemberId& id() const;
  // What has been accepted here, chosen or not; nothing while the disk fails.
  const std::optional<ControlValue>& accepted() const;
  RecordStoreStats stats() const;
  // A sync has failed: this replica is out until its disk is well again.
  bool broken() const;

 private:
  struct State;
  explicit ControlReplica(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONTROL_REPLICA_H_
