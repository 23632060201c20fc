// Takes callers' connections and hands their requests over, without a fiber or
// a buffer for each connection: hundreds of idle ones cost next to nothing.
//
//   CallerServer server(runtime, {.endpoint = endpoint, .header_names =
//   header_names,
//                                 .on_request = Handle});
//   auto port = server.Start();

#ifndef KNAPWEEDROAD_EDGE_CALLER_SERVER_H_
#define KNAPWEEDROAD_EDGE_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {

class Runtime;
struct CallerAnswer;
struct CallerRequest;
struct HeaderNames;

// One request's way back. Shared by the connection and whoever answers.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;
  // Once; a later call, or one after the caller has left, changes nothing.
  virtual void Answer(CallerAnswer answer) = 0;
  // Called at most once, when the caller closes before its answer.
  std::function<void()> on_abandoned;
  // Called at most once, when the host is about to end: the request is to be
  // answered now.
  std::function<void()> on_stopped;
};

using CallerHandler =
    std::function<void(CallerRequest request,
                       const std::shared_ptr<CallerExchange>& exchange)>;

struct CallerServerOptions {
  Endpoint endpoint;
  const HeaderNames& header_names;
  CallerHandler on_request;
  // Asked for each message: may change while the server runs.
  std::function<CallerLimits()> limits;
};

class CallerServer {
 public:
  CallerServer(Runtime& runtime, CallerServerOptions options);
  ~CallerServer();

  tl::expected<uint16_t, NetError> Start();

  // Each answer from now on closes its connection; new ones are still served.
  void StartDraining();
  // Closes connections on which no request is running or coming in.
  void CloseIdle();
  // Has all requests answered that still run.
  void StopRunning();
  // Closes what has been idle, or has sent half a request, for too long.
  // Called from time to time.
  void Sweep(TimePoint now);

  size_t connections() const;
  // Requests without their answer.
  size_t running() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CALLER_SERVER_H_
