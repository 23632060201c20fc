// A small deployment of the real programs: three zones, each with one control
// host and some entry hosts, on loopback addresses and with a temporary folder.

#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review {

constexpr uint16_t kControlPort = 8224;
constexpr uint16_t kCallerPort = 8226;
constexpr size_t kZones = 3;

struct Host {
  std::string name;
  std::string role;
  std::string ip;
  std::string zone;
  pid_t pid = 0;
};

class Deployment {
 public:
  // Ends the process with 2 if no loopback network is free.
  // `extra` are more lines of settings.
  Deployment(std::string program,
             size_t entries_per_zone,
             std::string extra = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartAll(bool is_first_start);
  // Starts the hosts of a zone, or of all other zones, after a loss of power.
  void StartZone(const std::string& zone, bool is_other);
  void StartOne(const std::string& name);
  void KillOne(const std::string& name);
  // Empties the data folder of a host that doesn't run.
  void LoseDisk(const std::string& name) const;
  void KillAll();
  // Starts processes again that have ended by themselves; how many.
  size_t RestartEnded();
  // Whether a process has ended though nobody killed it.
  bool HasEnded() const;

  // Sends the configuration until it is acknowledged; false after 20 s.
  bool PutConfiguration(const std::string& body) const;

  std::string Ip(size_t zone, size_t number) const;
  static std::string Zone(size_t zone) { return "z" + std::to_string(zone); }
  std::vector<Host>& hosts() { return this->all; }

 private:
  void Start(Host& host, bool is_first_start) const;

  std::string program;
  std::string extra;
  std::string network;
  std::string folder;
  std::vector<Host> all;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_DEPLOYMENT_H_
