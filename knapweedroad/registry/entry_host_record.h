// An entry host, as hosts tell each other of it.

#ifndef KNAPWEEDROAD_REGISTRY_ENTRY_HOST_RECORD_H_
#define KNAPWEEDROAD_REGISTRY_ENTRY_HOST_RECORD_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct EntryHostRecord {
  HostId host;
  ZoneId zone;
  // Where it takes calls of other hosts.
  Endpoint peer_address;

  friend bool operator==(const EntryHostRecord&,
                         const EntryHostRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->zone, this->peer_address.ip,
            this->peer_address.port);
  }
};

inline const HostId& KeyOf(const EntryHostRecord& record) {
  return record.host;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_ENTRY_HOST_RECORD_H_
