// The operators' part of a host's HTTP interface: reading and changing the
// configuration, zones out and in, status (docs/PROTOCOLS.md).
//
//   OperatorApi api({.gateway = gateway, .status = MakeStatus});
//   HttpResponse response = api.Handle(request);

#ifndef KNAPWEEDROAD_HOST_OPERATOR_API_H_
#define KNAPWEEDROAD_HOST_OPERATOR_API_H_

#include <functional>
#include <string_view>

#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

class ChangeGateway;
struct ChangeCall;
struct ChangeOutcome;
struct MoveRequest;
struct StatusReport;

struct OperatorApiOptions {
  // Outlives the interface.
  ChangeGateway& gateway;
  std::function<StatusReport()> status;
  // Moves control replicas: ControlService::Move of this host.
  std::function<ChangeOutcome(const MoveRequest&, TimePoint deadline)> move;
  // The process's clock unless set.
  std::function<TimePoint()> now;
  // How long a change may be tried before its answer is "unknown", and a read
  // before it is refused. The command line waits longer.
  Duration change_timeout = std::chrono::seconds(10);
  Duration read_timeout = std::chrono::seconds(5);
};

class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiOptions options);

  // Blocks the calling fiber until the answer is known or the time is up.
  // Paths that aren't the operators' get a 404.
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse ReadConfiguration(const HttpRequest& request);
  HttpResponse PutConfiguration(const HttpRequest& request);
  HttpResponse SwitchZone(const HttpRequest& request, std::string_view words);
  HttpResponse MoveReplica(const HttpRequest& request, std::string_view words);
  HttpResponse Change(const ChangeCall& call);

  OperatorApiOptions options;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_OPERATOR_API_H_
