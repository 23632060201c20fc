// Sends calls to the hosts' caller addresses in round-robin order.
//
//   Caller caller(runtime, hosts);
//   caller.Send(call, due_at, cancel_after);

#ifndef KNAPWEEDROAD_LOAD_CALLER_H_
#define KNAPWEEDROAD_LOAD_CALLER_H_

#include <memory>
#include <optional>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

class HttpClient;
class Runtime;
struct CallRecord;

class Caller {
 public:
  Caller(Runtime& runtime, const std::vector<Endpoint>& hosts);
  ~Caller();

  // Sends `call` and blocks the calling fiber until it ends. Stores the answer
  // in `call`, or status 0 and a failure name if there is none, and the latency
  // since `due_at`. Cancels the call `cancel_after` after the send, if set.
  void Send(CallRecord& call,
            TimePoint due_at,
            std::optional<Duration> cancel_after);

 private:
  Runtime* runtime;
  std::vector<std::unique_ptr<HttpClient>> hosts;
  size_t next_host = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_CALLER_H_
