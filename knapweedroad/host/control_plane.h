// All that a host does for control: its replica if it has a disk, the way to
// the agreed value, the configuration in force, and the operators' interface.
//
//   ControlPlane control(runtime, {.settings = settings, .links = links, ...});
//   auto opened = control.Open();      // before the links start
//   control.CatchUp();                 // after; before the host is ready
//   HttpResponse response = control.Handle(request);

#ifndef KNAPWEEDROAD_HOST_CONTROL_PLANE_H_
#define KNAPWEEDROAD_HOST_CONTROL_PLANE_H_

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

class ConfigurationKeeper;
class HostView;
class PeerLinks;
class Runtime;
struct StatusReport;

struct ControlPlaneOptions {
  const HostSettings& settings;
  std::string initial_configuration;
  PeerLinks& links;
  HostView& view;
  ConfigurationKeeper& keeper;
  // Fills in hosts, zones and targets; the rest of the report is done here.
  std::function<void(StatusReport&)> fill_status;
};

class ControlPlane {
 public:
  ControlPlane(Runtime& runtime, ControlPlaneOptions options);
  ~ControlPlane();

  // Opens the replica's folder and takes the messages of control; the error
  // names the place and the remedy. Blocks the thread while it reads the disk.
  tl::expected<void, std::string> Open();

  // Finds what is in force, within a few seconds, and keeps up from then on.
  void CatchUp();

  // Another host has this version in force.
  void OnPeerVersion(const HostId& host, uint64_t version);

  // The operators' requests.
  HttpResponse Handle(const HttpRequest& request);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONTROL_PLANE_H_
