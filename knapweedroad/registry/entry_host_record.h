// The description of an entry host that hosts exchange.

#ifndef KNAPWEEDROAD_REGISTRY_ENTRY_HOST_RECORD_H_
#define KNAPWEEDROAD_REGISTRY_ENTRY_HOST_RECORD_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct EntryHostRecord {
  HostId host;
  ZoneId zone;
  // The address at which it accepts calls from other hosts.
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
