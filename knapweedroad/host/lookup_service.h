// Lookups that run at most once: each key has one host that may begin it.
//
//   LookupService lookups(runtime, {.settings = settings, .links = links,
//                                   .run = RunLookup, ...});
//   RecordResult result = lookups.Run(request);   // blocks the fiber
//
// The host of a key is the first in its rendezvous order over all hosts of the
// settings, alive or not: two hosts that lose each other never both begin a
// key. While that host can't be reached its keys are refused.
//
// A host that has just started has forgotten its keys, so it refuses every key
// as `unknown` for the time that a resend may take to come (the table's
// window), unless the caller says that it is the key's first send.

#ifndef KNAPWEEDROAD_HOST_LOOKUP_SERVICE_H_
#define KNAPWEEDROAD_HOST_LOOKUP_SERVICE_H_

#include <functional>
#include <memory>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/host/caller_request.h"
#include "knapweedroad/query/record_run.h"

namespace knapweedroad {

class PeerLinks;
class Runtime;

struct LookupServiceOptions {
  const HostSettings& settings;
  PeerLinks& links;
  // Runs the lookup here, now; blocks the calling fiber.
  std::function<RecordResult(const FrontRequest&)> run;
  // The front as it is configured on this host, or null.
  std::function<std::shared_ptr<const FrontConfig>(const FrontId&)> find_front;
};

class LookupService {
 public:
  LookupService(Runtime& runtime, LookupServiceOptions options);
  ~LookupService();

  // Takes calls of other hosts. Before the links start.
  void Start();

  // Blocks the calling fiber until the result.
  RecordResult Run(const FrontRequest& request);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_LOOKUP_SERVICE_H_
