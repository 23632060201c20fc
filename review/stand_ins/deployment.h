// A small deployment of the system: hosts of both roles as processes, each at
// a loopback address of its own, with the settings of the deploy template.

#ifndef REVIEW_STAND_INS_DEPLOYMENT_H_
#define REVIEW_STAND_INS_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "review/stand_ins/endpoint.h"
#include "review/stand_ins/process.h"
#include "review/stand_ins/record.h"

namespace review {

struct Host {
  std::string name;
  std::string role;
  std::string zone;
  std::string ip;
  // Where callers of its role reach it.
  Endpoint served;
  Endpoint ready;
  // Whether the operator's list names it, from which seeds are taken.
  bool is_listed = true;
  std::unique_ptr<Process> process;
};

struct DeploymentOptions {
  std::string binary;
  // Holds settings, data and logs.
  std::string folder;
  std::vector<std::string> control_zones;
  std::vector<std::string> entry_zones;
};

class Deployment {
 public:
  Deployment(const DeploymentOptions& options, Record& record);

  void StartAll();
  // Starts a process again that has ended.
  void Restart(Host& host);
  // Starts one more control host, with an empty disk, beside the running ones.
  // References to control hosts end.
  void AddControl(const std::string& zone);
  bool IsReady(const Host& host) const;
  // False: not within the time.
  bool AwaitReady(Milliseconds timeout);

  // Of the hosts that the operator's list names.
  std::vector<Endpoint> ControlEndpoints() const;
  std::vector<Host>& controls() { return this->control_hosts; }
  std::vector<Host>& entries() { return this->entry_hosts; }
  // The first two numbers of all addresses, with a dot after each.
  const std::string& net() const { return this->network; }

 private:
  Host MakeHost(const std::string& role,
                size_t number,
                const std::string& zone);
  void WriteSettings(const Host& host, bool is_first_start) const;
  std::string SettingsPath(const Host& host) const;

  DeploymentOptions options;
  Record& record;
  std::string network;
  std::string readiness_path;
  std::vector<Host> control_hosts;
  std::vector<Host> entry_hosts;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_DEPLOYMENT_H_
