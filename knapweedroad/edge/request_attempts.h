// The attempts of one caller's request: sends them to their targets, reports to
// the load balancer how each ended, and remembers it for the log.
//
//   auto attempts = std::make_shared<RequestAttempts>(...);
//   attempts->Send(start, [&](TargetReply reply) {
//     switch (attempts->Take(start.attempt, reply, now)) { ... }
//   });
//   attempts->ReleaseAfterAnswer();

#ifndef KNAPWEEDROAD_EDGE_REQUEST_ATTEMPTS_H_
#define KNAPWEEDROAD_EDGE_REQUEST_ATTEMPTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/attempt_log.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/target_outcome.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/rollout/answer_sampler.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

class TargetExchange;
struct AttemptStart;
struct CallerRequest;
struct EntryHostRecord;
struct EntryParts;
struct GatherCall;
struct GatherReply;
struct RouteConfig;
struct RouteMemory;

struct RequestAttemptsOptions {
  EntryParts& parts;
  // Still read after a release: a connection may only then be made.
  std::shared_ptr<const CallerRequest> request;
  const RouteConfig& route;
  // Read after a release as well.
  std::string route_name;
  RouteMemory& memory;
  TimePoint deadline;
};

class RequestAttempts : public std::enable_shared_from_this<RequestAttempts> {
 public:
  using OnReply = std::function<void(TargetReply reply)>;

  // `parts` outlives all attempts, `route` and `memory` the last call.
  explicit RequestAttempts(RequestAttemptsOptions options);
  ~RequestAttempts();

  // `on_reply` is called once, unless the attempt is released before.
  void Send(const AttemptStart& start, OnReply on_reply);

  // What came of attempts that another host has made.
  struct Gathered {
    struct Part {
      uint32_t attempt = 0;
      TargetReply reply;
      AttemptOutcome outcome = AttemptOutcome::kBroken;
    };
    std::vector<Part> parts;
    // Of the call, ended or not.
    size_t attempt_count = 0;
    // Merged of the successes among them, and what was held back.
    std::string records;
    HeldRecords held;
    // The other host made them, and they have not ended.
    std::vector<uint32_t> running;
    // None was sent: to be sent by this host itself.
    std::vector<AttemptStart> not_tried;
    // Nothing is known of these: they may have run.
    std::vector<uint32_t> lost;
  };
  using OnGathered = std::function<void(Gathered gathered)>;

  // Has another host make these attempts and merge what they bring. It tells
  // what has come after `reply_within`, then the rest; `on_gathered` is called
  // with each, until all attempts have ended or are released.
  void SendThrough(const EntryHostRecord& relay,
                   std::span<const AttemptStart> starts,
                   Duration reply_within,
                   const OnGathered& on_gathered);

  // Sends an attempt that another host has not made.
  void SendUntried(const AttemptStart& start, OnReply on_reply);

  // The end of an attempt of which nothing is known.
  void TakeLost(uint32_t attempt, TimePoint now);

  // Reports the end of an attempt to the load balancer.
  AttemptOutcome Take(uint32_t attempt,
                      const TargetReply& reply,
                      TimePoint now);

  // Nobody waits any more for what is still out. What it tells of its targets
  // is still learned for a moment: these are the slow ones.
  void ReleaseAfterAnswer();
  void ReleaseAfterCallerLeft();

  // Returns whether one more attempt may be sent to the service beside those
  // that are out and `unsent` more.
  SendPermission CheckSend(const ServiceId& service, size_t unsent);
  // The number of targets that were lost in this run.
  size_t loss_count() const { return this->losses; }
  // Of the request's content.
  RequestFingerprint fingerprint();

  const std::string& log() const { return this->attempt_log.text(); }

 private:
  struct Attempt {
    TargetId target;
    ServiceId service;
    TimePoint sent;
    SampledAttempt sampled;
    std::shared_ptr<TargetExchange> exchange;
    // Another host makes it, and hasn't told how it ended.
    bool is_gathered = false;
    std::optional<TimePoint> answered;
  };

  // Counts an attempt that is about to be sent.
  void Register(const AttemptStart& start);
  void Dispatch(const AttemptStart& start, OnReply on_reply);
  GatherCall MakeGatherCall(const HostId& relay,
                            std::span<const AttemptStart> starts,
                            Duration reply_within);
  std::string Bytes(const TargetId& target) const;
  void Sample(const Attempt& attempt,
              const TargetOutcome& outcome,
              const TargetReply& reply);
  Gathered Understand(std::span<const AttemptStart> made,
                      HeldRecords held,
                      GatherReply reply);
  Gathered LoseAll(std::span<const AttemptStart> made, bool may_have_run);
  void ReleaseGathered(Duration grace);
  void LearnPartBytes(size_t bytes);
  void Note(const Attempt& attempt, std::string_view end, int status);
  // Whether the detector remembers the request. When that becomes so, tells it
  // of the attempts that are out and of those that were answered.
  bool IsSuspect();
  void ReportAttempts();
  void RecordFate(Attempt& attempt, AttemptFate fate, TimePoint now);
  // Reports a lost target, and with it what was answered before.
  void RecordLoss(const Attempt& attempt, TimePoint now);
  void Release(Duration grace);

  RequestAttemptsOptions options;
  std::vector<Attempt> attempts;
  std::vector<std::shared_ptr<GatherExchange>> gathers;
  // Hosts that have been told the request, and its name there.
  std::set<HostId> told;
  uint64_t request_token = 0;
  AttemptLog attempt_log;
  size_t losses = 0;
  std::optional<RequestFingerprint> known_fingerprint;
  // The result of IsSuspect() at this revision of the detector.
  bool is_suspect = false;
  uint64_t checked_revision = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_ATTEMPTS_H_
