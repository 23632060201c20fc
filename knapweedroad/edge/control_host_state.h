// What a control host is made of. Included by control_host*.cc only.

#ifndef KNAPWEEDROAD_EDGE_CONTROL_HOST_STATE_H_
#define KNAPWEEDROAD_EDGE_CONTROL_HOST_STATE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/repeated_event_log.h"
#include "knapweedroad/base/standstill_detector.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/agreed_editor.h"
#include "knapweedroad/edge/agreed_value.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/control_host.h"
#include "knapweedroad/edge/control_links.h"
#include "knapweedroad/edge/departure_messages.h"
#include "knapweedroad/edge/departure_replicator.h"
#include "knapweedroad/edge/departure_store.h"
#include "knapweedroad/edge/directory_cache.h"
#include "knapweedroad/edge/order_guard.h"
#include "knapweedroad/edge/quorum_confirmer.h"
#include "knapweedroad/edge/quota_service.h"
#include "knapweedroad/edge/replica_membership.h"
#include "knapweedroad/edge/rollout_owner.h"
#include "knapweedroad/edge/watch_hub.h"
#include "knapweedroad/edge/zone_connectivity.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/registry/outcome_collector.h"
#include "knapweedroad/registry/target_registry.h"

namespace knapweedroad {

// The list changes with each reply of a target under load.
inline constexpr Duration kOutlierLineInterval = std::chrono::seconds(30);

struct ControlHost::State : std::enable_shared_from_this<ControlHost::State> {
  State(Runtime& runtime, ControlHostOptions given);

  void TakeAgreed(uint64_t version, const std::string& text);
  void OnNews(const HostId& from, const WatchReply& reply);
  void Tick();
  // Takes outcomes that didn't wait for a watch call.
  void TakeUrgent(const OutcomeReport& report);
  // Carries an order out unless it may be a late copy; logs if it isn't done.
  OrderResult RunOrder(const std::string& name,
                       const CallOrigin& origin,
                       const OrderGuard::Change& change);
  // The newest members that this host has seen; empty: none.
  Membership NewestMembers() const;
  // Whether the target's departure, if it has one, is held by a quorum in time.
  bool HoldDeparture(const TargetId& id, TimePoint deadline);
  // Another control host has departures stored here.
  tl::expected<DepartureReply, std::string> TakeDepartures(
      const DepartureCall& call);
  // Makes the list of outliers anew.
  void JudgeTargets();
  std::string PrintMetrics() const;
  HttpResponse AnswerCall(const HttpRequest& request, HttpExchange& exchange);

  // Parts, in the order in which each needs those before it; the first error
  // ends the start.
  tl::expected<void, std::string> OpenReplica();
  void MakeFollower();
  void MakeHub();
  void ReadDirectory();
  void MakeAgreement();
  std::shared_ptr<RolloutOwner> MakeRolloutOwner();
  std::shared_ptr<QuotaService> MakeQuotaService();
  void MakeMembership();
  void MakeDepartures();
  void MakeConfirmer();
  tl::expected<void, std::string> Serve();
  void BeginWork();

  // Live ones, this one among them.
  std::vector<ControlHostRecord> ControlHosts() const;

  Runtime& runtime;
  ControlHostOptions options;
  HostId self;
  std::vector<HostId> seeds;
  ControlLinks links;
  ZoneConnectivity connectivity;
  TargetRegistry registry;
  OutcomeCollector outcomes;
  bool is_judging_soon = false;
  RepeatedEventLog outlier_lines;
  std::shared_ptr<ControlReplica> replica;
  std::unique_ptr<ControlService> service;
  std::unique_ptr<AgreedEditor> editor;
  StandstillDetector standstill;
  std::unique_ptr<OrderGuard> orders;
  std::unique_ptr<ReplicaMembership> membership;
  std::unique_ptr<QuorumConfirmer> confirmer;
  std::unique_ptr<WatchHub> hub;
  std::unique_ptr<DirectoryCache> directory;
  std::unique_ptr<DepartureStore> departure_store;
  std::unique_ptr<DepartureReplicator> departures;
  std::unique_ptr<ControlFollower> follower;
  std::shared_ptr<RolloutOwner> rollouts;
  std::shared_ptr<QuotaService> quota;
  std::unique_ptr<PeerServer> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> metrics_server;
  AgreedValue agreed;
  int ticks = 0;
  uint64_t announcements = 0;
  uint64_t departures_not_held = 0;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_HOST_STATE_H_
