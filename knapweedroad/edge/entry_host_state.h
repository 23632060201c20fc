// What an entry host is made of. Included by entry_host*.cc only.

#ifndef KNAPWEEDROAD_EDGE_ENTRY_HOST_STATE_H_
#define KNAPWEEDROAD_EDGE_ENTRY_HOST_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/connection_warmer.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/entry_host.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/freshness_client.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/gather_relay.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/quota_client.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/rollout_reporter.h"
#include "knapweedroad/edge/routing_in_force.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_news.h"
#include "knapweedroad/edge/target_prober.h"
#include "knapweedroad/freshness/configuration_freshness.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/registry/outcome_recorder.h"
#include "knapweedroad/routing/entry_host_lists.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {

class RouteTable;
struct WatchReply;

struct EntryHost::State : std::enable_shared_from_this<EntryHost::State> {
  State(Runtime& runtime, EntryHostOptions given);

  void Tick();
  // Whether callers had better go to other zones' hosts.
  void WatchReachability(TimePoint now);
  // Whether the own zone's targets could serve every route.
  bool ZoneServesAll(TimePoint now) const;
  void OnNews(const HostId& from, const WatchReply& reply);
  void UseEntryHosts(TimePoint now);
  void PutInForce(const std::shared_ptr<const RouteTable>& table);
  HttpResponse AnswerPlatform(const HttpRequest& request);
  bool IsReady() const;
  // Whether requests with a key may be sent to targets: always, unless strict
  // revocation is on and the proof of freshness is missing or too old. Call it
  // after the bytes of the request have been read.
  bool IsConfigurationFresh() const;
  // Whether the age of the proof lets the host take callers.
  bool IsFreshEnoughForCallers() const;
  // Whether keys are checked, and only with a proof.
  bool NeedsProof() const;
  // Logs when the proof becomes old, and when it is fresh again.
  void WatchFreshness();
  int64_t ProofAgeMs() const;
  std::string PrintMetrics();
  void SetQuotaMetrics();
  CallerLimits Limits() const;

  // Whether callers or other hosts still wait for something of this host.
  bool HasWork() const;
  void AwaitNoWork(TimePoint until, bool closes_idle);

  // Parts of the start; the first error ends it.
  tl::expected<void, std::string> ServeCallers();
  tl::expected<void, std::string> ServeReadiness();
  tl::expected<void, std::string> ServePeers();
  tl::expected<void, std::string> ServeMetrics();
  void FollowControl();
  void MakeQuotaClient();
  void ProveFreshness();
  void OnAgreed(uint64_t version, const std::string& text);
  void BeginTicks();

  Runtime& runtime;
  EntryHostOptions options;
  std::vector<HostId> seeds;
  OutcomeRecorder outcomes;
  LoadBalancer balancer;
  TargetLinks links;
  EntryHostLists entry_hosts;
  RelayChoice relays;
  GatherLinks gather_links;
  GatherRelay gather_relay;
  QueryOfDeathDetector detector;
  LossSharing loss_sharing;
  EntryMetrics metrics;
  RequestAdmission admission;
  WeightedRoundRobin rotation;
  EntryParts parts;
  ConnectionWarmer warmer;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<PeerServer> peers;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<ControlFollower> follower;
  std::unique_ptr<QuotaClient> quota;
  RoutingInForce routing;
  ConfigurationFreshness freshness;
  // Null unless strict revocation is on.
  std::shared_ptr<FreshnessClient> freshness_client;
  std::shared_ptr<TargetProber> prober;
  std::shared_ptr<RolloutReporter> rollouts;
  TargetLineCount target_lines;
  TimePoint last_tick;
  int ticks = 0;
  bool is_leaving = false;
  // Cut off, with little to serve callers by.
  bool is_sending_away = false;
  // The alarm about an old proof is on.
  bool is_proof_old = false;
  BootTime started_at;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_HOST_STATE_H_
