// What `GET /v1/status` says, and how it is written.
//
//   StatusReport report{.host = name, .hosts = statuses, ...};
//   std::string body = StatusJson(report);

#ifndef KNAPWEEDROAD_HOST_STATUS_REPORT_H_
#define KNAPWEEDROAD_HOST_STATUS_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/control/member_id.h"
#include "knapweedroad/host/configuration_age.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

struct TargetStatus {
  TargetId target;
  FrontId front;
  ServiceId service;
  ZoneId zone;
  TargetState state = TargetState::kCold;
  // Empty: no host holds it, as far as this host knows.
  HostId holder;
  // As the target counted it.
  uint32_t in_flight = 0;
  // What its holder may send at once.
  uint32_t limit = 0;
  // Since its last report.
  Duration report_age{};
};

struct ReplicaStatus {
  MemberId member;
  bool reachable = false;
  // It doesn't count alone yet.
  bool joining = false;
};

struct StatusReport {
  // The one that answers; everything below is as it sees it.
  HostId host;
  ConfigurationAge configuration;
  // All hosts of the deployment, the answering one included.
  std::vector<HostStatus> hosts;
  std::vector<ZoneConfig> zones;
  std::vector<TargetStatus> targets;
  std::vector<ReplicaStatus> replicas;
};

// "in force on N of M hosts" counts hosts that are alive and have the newest
// version that the answering host has heard of.
std::string StatusJson(const StatusReport& report);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_STATUS_REPORT_H_
