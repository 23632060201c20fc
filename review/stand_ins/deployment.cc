#include "review/stand_ins/deployment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

#include "review/stand_ins/connection.h"
#include "review/stand_ins/wire.h"

namespace review {
namespace {

// Ports are the same on all hosts. These lie below the range from which the
// kernel takes the ports of outgoing connections.
constexpr uint16_t kPeerPort = 7740;
constexpr uint16_t kServePort = 8224;
constexpr uint16_t kReadyPort = 8225;
constexpr uint16_t kMetricsPort = 9464;
constexpr size_t kFirstControl = 1;
constexpr size_t kFirstEntry = 101;
constexpr size_t kMaxSeeds = 3;
// Control hosts that may be added.
constexpr size_t kSpareControls = 1;
constexpr Milliseconds kPoll(50);
constexpr Milliseconds kReadyTimeout(1000);
constexpr int kOk = 200;

bool IsFree(const std::string& ip, uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool is_free = bind(socket, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(socket);
  return is_free;
}

// Part of 127.0.0.0/8 in which the ports are free.
std::string ChooseNetwork(size_t controls, size_t entries) {
  std::random_device random;
  constexpr unsigned kMostNumber = 200;
  constexpr int kTries = 100;
  std::string net;
  for (int i = 0; i < kTries; ++i) {
    net = "127." + std::to_string(10 + random() % kMostNumber) + "." +
          std::to_string(1 + random() % kMostNumber) + ".";
    bool is_free = true;
    for (size_t host = 0; host < controls + entries; ++host) {
      const size_t last = host < controls ? kFirstControl + host
                                          : kFirstEntry + host - controls;
      const std::string ip = net + std::to_string(last);
      for (const uint16_t port :
           {kPeerPort, kServePort, kReadyPort, kMetricsPort}) {
        is_free = is_free && IsFree(ip, port);
      }
    }
    if (is_free) {
      break;
    }
  }
  return net;
}

}  // namespace

Deployment::Deployment(const DeploymentOptions& given, Record& record)
    : options(given),
      record(record),
      network(ChooseNetwork(given.control_zones.size() + kSpareControls,
                            given.entry_zones.size())),
      readiness_path(WireText("readiness_path")) {
  for (size_t i = 0; i < this->options.control_zones.size(); ++i) {
    this->control_hosts.push_back(
        this->MakeHost("control", i, this->options.control_zones[i]));
  }
  for (size_t i = 0; i < this->options.entry_zones.size(); ++i) {
    this->entry_hosts.push_back(
        this->MakeHost("entry", i, this->options.entry_zones[i]));
  }
}

Host Deployment::MakeHost(const std::string& role,
                          size_t number,
                          const std::string& zone) {
  const size_t first = role == "control" ? kFirstControl : kFirstEntry;
  Host host{.name = role + "-" + std::to_string(number + 1),
            .role = role,
            .zone = zone,
            .ip = this->network + std::to_string(first + number)};
  host.served = {host.ip, kServePort};
  host.ready = {host.ip, kReadyPort};
  // The command of the deploy file, with the path of these settings.
  host.process = std::make_unique<Process>(
      std::vector<std::string>{this->options.binary, role,
                               "--settings=" + this->SettingsPath(host)},
      this->options.folder + "/" + host.name + ".log");
  return host;
}

std::string Deployment::SettingsPath(const Host& host) const {
  return this->options.folder + "/" + host.name + ".json";
}

// As the platform fills in deploy/settings.template, with the bounds of the
// small deployments.
void Deployment::WriteSettings(const Host& host, bool is_first_start) const {
  std::ofstream out(this->SettingsPath(host));
  out << "{\n  \"name\": \"" << host.name << "\",\n  \"zone\": \"" << host.zone
      << "\",\n";
  if (host.role == "control") {
    const std::string data = this->options.folder + "/data-" + host.name;
    std::filesystem::create_directories(data);
    out << "  \"control_address\": \"" << host.served.ToString()
        << "\",\n  \"data_folder\": \"" << data << "\",\n";
  } else {
    out << "  \"caller_address\": \"" << host.served.ToString()
        << "\",\n  \"ready_address\": \"" << host.ready.ToString() << "\",\n";
  }
  out << R"(  "heartbeat_interval": "1200ms",
  "stop_grace": "6s",
  "retry_ratio": "0.2",
  "retry_slack": "58",
  "retry_window": "10s",
  "cold_burst_factor": "1.5",
  "cold_slack": "5",
  "order_resend_window": "5000ms",
  "control_seeds": [)";
  const std::vector<Endpoint> listed = this->ControlEndpoints();
  const size_t seeds = std::min(kMaxSeeds, listed.size());
  for (size_t i = 0; i < seeds; ++i) {
    out << (i == 0 ? "\"" : ",\"") << listed[i].ToString() << "\"";
  }
  out << "],\n  \"first_start\": " << (is_first_start ? "true" : "false")
      << ",\n  \"metrics_port\": " << kMetricsPort
      << ",\n  \"peer_address\": \"" << host.ip << ":" << kPeerPort
      << "\"\n}\n";
}

void Deployment::StartAll() {
  for (auto* const hosts : {&this->control_hosts, &this->entry_hosts}) {
    for (const Host& host : *hosts) {
      this->WriteSettings(host, /*is_first_start=*/true);
      host.process->Start();
      this->record.Add("starts " + host.name + " in " + host.zone + " at " +
                       host.served.ToString());
    }
  }
}

void Deployment::Restart(Host& host) {
  this->WriteSettings(host, /*is_first_start=*/false);
  host.process->Start();
  this->record.Add("starts " + host.name + " again");
}

void Deployment::AddControl(const std::string& zone) {
  this->control_hosts.push_back(
      this->MakeHost("control", this->control_hosts.size(), zone));
  const Host& host = this->control_hosts.back();
  this->WriteSettings(host, /*is_first_start=*/false);
  host.process->Start();
  this->record.Add("starts " + host.name + " in " + host.zone + " at " +
                   host.served.ToString() + ", new");
}

bool Deployment::IsReady(const Host& host) const {
  HttpMessage question{.method = "GET", .path = this->readiness_path};
  question.headers["host"] = host.ready.ToString();
  question.headers["connection"] = "close";
  const auto answer = Call(host.ready, question, kReadyTimeout);
  return answer && answer->status == kOk;
}

bool Deployment::AwaitReady(Milliseconds timeout) {
  const TimePoint deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    const bool all_ready =
        std::all_of(this->entry_hosts.begin(), this->entry_hosts.end(),
                    [this](const Host& host) { return this->IsReady(host); });
    if (all_ready) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

std::vector<Endpoint> Deployment::ControlEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const Host& host : this->control_hosts) {
    if (host.is_listed) {
      endpoints.push_back(host.served);
    }
  }
  return endpoints;
}

}  // namespace review
