#include "review/stand_ins_2/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

#include "review/stand_ins_2/http.h"
#include "review/stand_ins_2/record.h"
#include "review/stand_ins_2/wire.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr size_t kFirstEntry = 10;

// A network of which no address is in use by another run.
std::string FreeNetwork() {
  for (int tried = 0; tried < 100; ++tried) {
    const int number = 20 + (getpid() + tried * 37) % 220;
    std::string network = "127." + std::to_string(number) + ".";
    const int socket = Listen(network + "1.1", kControlPort);
    if (socket >= 0) {
      close(socket);
      return network;
    }
  }
  std::cerr << "no free loopback network\n";
  std::exit(2);
}

}  // namespace

Deployment::Deployment(std::string program,
                       size_t entries_per_zone,
                       std::string extra)
    : program(std::move(program)),
      extra(std::move(extra)),
      network(FreeNetwork()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  for (size_t zone = 0; zone < kZones; ++zone) {
    this->all.push_back({.name = "control-" + std::to_string(zone),
                         .role = "control",
                         .ip = this->Ip(zone, 1),
                         .zone = Zone(zone)});
    for (size_t i = 0; i < entries_per_zone; ++i) {
      this->all.push_back(
          {.name = "entry-" + std::to_string(zone) + "-" + std::to_string(i),
           .role = "entry",
           .ip = this->Ip(zone, kFirstEntry + i),
           .zone = Zone(zone)});
    }
  }
}

Deployment::~Deployment() {
  this->KillAll();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string Deployment::Ip(size_t zone, size_t number) const {
  return this->network + std::to_string(zone + 1) + "." +
         std::to_string(number);
}

void Deployment::Start(Host& host, bool is_first_start) const {
  std::string seeds;
  for (size_t zone = 0; zone < kZones; ++zone) {
    seeds += zone == 0 ? "\"" : ",\"";
    seeds += this->Ip(zone, 1) + ":" + std::to_string(kControlPort) + "\"";
  }
  const std::string data = this->folder + "/data-" + host.name;
  const std::string settings = this->folder + "/" + host.name + ".json";
  std::filesystem::create_directories(data);
  std::ofstream(settings) << Fill(
      "settings", {{"addresses", Fill(host.role + "_addresses",
                                      {{"ip", host.ip}, {"folder", data}})},
                   {"name", host.name},
                   {"zone", host.zone},
                   {"seeds", seeds},
                   {"extra", this->extra},
                   {"first", is_first_start ? "true" : "false"},
                   {"ip", host.ip}});
  const std::string log = this->folder + "/" + host.name + ".log";
  const std::string flag = "--settings=" + settings;
  host.pid = fork();
  if (host.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(this->program.c_str(), this->program.c_str(), host.role.c_str(),
          flag.c_str(), nullptr);
    _exit(2);
  }
  Note("started " + host.name);
}

void Deployment::StartAll(bool is_first_start) {
  for (Host& host : this->all) {
    this->Start(host, is_first_start);
  }
}

void Deployment::StartZone(const std::string& zone, bool is_other) {
  for (Host& host : this->all) {
    if ((host.zone == zone) != is_other) {
      this->Start(host, /*is_first_start=*/false);
    }
  }
}

void Deployment::StartOne(const std::string& name) {
  for (Host& host : this->all) {
    if (host.name == name) {
      this->Start(host, /*is_first_start=*/false);
    }
  }
}

void Deployment::KillOne(const std::string& name) {
  for (Host& host : this->all) {
    if (host.name == name && host.pid != 0) {
      Note(name + " is killed");
      kill(host.pid, SIGKILL);
      waitpid(host.pid, nullptr, 0);
      host.pid = 0;
    }
  }
}

void Deployment::LoseDisk(const std::string& name) const {
  std::error_code ignored;
  std::filesystem::remove_all(this->folder + "/data-" + name, ignored);
  Note(name + " has lost its disk");
}

void Deployment::KillAll() {
  for (const Host& host : this->all) {
    if (host.pid != 0) {
      kill(host.pid, SIGKILL);
    }
  }
  for (Host& host : this->all) {
    if (host.pid != 0) {
      waitpid(host.pid, nullptr, 0);
      host.pid = 0;
    }
  }
}

size_t Deployment::RestartEnded() {
  size_t ended = 0;
  for (Host& host : this->all) {
    int status = 0;
    if (waitpid(host.pid, &status, WNOHANG) != host.pid) {
      continue;
    }
    ++ended;
    Note(host.name + " ended by itself, " +
         (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "code " + std::to_string(WEXITSTATUS(status))));
    this->Start(host, /*is_first_start=*/false);
  }
  return ended;
}

bool Deployment::HasEnded() const {
  for (const Host& host : this->all) {
    siginfo_t info{};
    if (host.pid == 0 ||
        waitid(P_PID, static_cast<id_t>(host.pid), &info,
               WEXITED | WNOHANG | WNOWAIT) != 0 ||
        info.si_pid != 0) {
      return true;
    }
  }
  return false;
}

bool Deployment::PutConfiguration(const std::string& body) const {
  for (size_t tried = 0; tried < 100; ++tried) {
    const std::string ip = this->Ip(tried % kZones, 1);
    const auto answer =
        Ask(ip, kControlPort, "PUT", Wire("configuration_path"),
            "Host: control\r\nContent-Type: application/json\r\n", body,
            milliseconds(1000));
    if (answer && answer->status == 200) {
      Note("configuration acknowledged by " + ip);
      return true;
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  return false;
}

}  // namespace review
