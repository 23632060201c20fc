// A machine that serves control is gone for good, and an empty one comes in its
// place. When that has had twice the time to catch up, another control host
// loses its disk, right after a configuration was acknowledged. With one disk
// lost at a time, the configuration must still be there.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/configuration.h"
#include "review/stand_ins/connection.h"
#include "review/stand_ins/deployment.h"
#include "review/stand_ins/operator.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/wire.h"

namespace review {
namespace {

// Bounds of the small deployments.
constexpr Milliseconds kAckTimeout(5000);
constexpr Milliseconds kCatchUp(4000);
constexpr Milliseconds kRecovery(12'000);
constexpr Milliseconds kTouch(4000);

constexpr Milliseconds kReadyWithin(20'000);
constexpr Milliseconds kCalm(3000);
// A machine that loses its disk is down for 1 to 3 s.
constexpr Milliseconds kDown(1000);
// From the start of the new machine to the next disruption.
constexpr Milliseconds kAfterReplacement = 2 * kCatchUp;
constexpr Milliseconds kReadTimeout(2000);
constexpr Milliseconds kBetweenReads(500);
constexpr Milliseconds kPoll(10);
constexpr int kTimeoutMs = 2500;
constexpr int kOk = 200;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

class World {
 public:
  World(const std::string& folder, Record& record)
      : folder(folder),
        record(record),
        deployment({.binary = "target/bin/knapweedroad",
                    .folder = folder,
                    .control_zones = {"zone-a", "zone-b", "zone-c"},
                    .entry_zones = {"zone-a"}},
                   record) {}

  bool Start() {
    this->deployment.StartAll();
    return this->Put(1, kReadyWithin) &&
           this->deployment.AwaitReady(kReadyWithin);
  }

  bool Put(uint64_t version, Milliseconds resend_for) {
    Operator caller(this->deployment.ControlEndpoints(), this->record);
    return caller
        .Order(PutConfiguration("safe", kTimeoutMs, version), 1, resend_for)
        .has_value();
  }

  // The last host is gone with its disk; a new one comes at another address.
  void ReplaceLast() {
    const size_t number = this->deployment.controls().size() - 1;
    const std::string zone = this->deployment.controls()[number].zone;
    this->EndWithDisk(number, " is gone for good");
    std::this_thread::sleep_for(kDown);
    this->deployment.AddControl(zone);
    // The list lags: the settings of the new host still name the old one.
    this->deployment.controls()[number].is_listed = false;
  }

  void LoseDisk(size_t number) {
    this->EndWithDisk(number, " loses its disk");
    std::this_thread::sleep_for(kDown);
    this->deployment.Restart(this->deployment.controls()[number]);
  }

  // Reads the configuration at each host in turn, for `time` at most. Whether
  // it came.
  bool ReadBack(uint64_t version, Milliseconds time) {
    const std::string wanted =
        WireText("configuration_begin", {{"version", std::to_string(version)}});
    const std::vector<Endpoint> hosts = this->deployment.ControlEndpoints();
    const TimePoint give_up = Clock::now() + time;
    bool is_read = false;
    for (size_t i = 0; !is_read && Clock::now() < give_up; ++i) {
      const Endpoint& host = hosts[i % hosts.size()];
      HttpMessage call{.method = "GET", .path = WireText("configuration_path")};
      call.headers["host"] = host.ToString();
      call.headers["connection"] = "close";
      const auto answer = Call(host, call, kReadTimeout);
      this->record.Add("operator reads the configuration at " +
                       host.ToString() + ": " +
                       (answer ? std::to_string(answer->status) + " " +
                                     answer->body.substr(0, wanted.size())
                               : std::string("no response")));
      is_read =
          answer && answer->status == kOk && answer->body.starts_with(wanted);
      std::this_thread::sleep_for(kBetweenReads);
    }
    return is_read;
  }

 private:
  void EndWithDisk(size_t number, const std::string& what) {
    Host& host = this->deployment.controls()[number];
    host.process->Signal(SIGKILL);
    this->record.Add(host.name + what);
    while (host.process->IsRunning()) {
      std::this_thread::sleep_for(kPoll);
    }
    std::filesystem::remove_all(this->folder + "/data-" + host.name);
  }

  std::string folder;
  Record& record;
  Deployment deployment;
};

int Run(const std::string& folder, const std::string& record_path) {
  const char* const given = std::getenv("TROUBLE");
  const std::string trouble = given == nullptr ? "1" : given;
  Record record(record_path);
  World world(folder, record);
  if (!world.Start()) {
    record.Add("result: the deployment didn't start");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kCalm);
  if (trouble == "1") {
    world.ReplaceLast();
  }
  std::this_thread::sleep_for(kAfterReplacement);
  if (!world.Put(2, kAckTimeout)) {
    record.Add("result: the configuration wasn't acknowledged");
    return kCouldNotRun;
  }
  if (trouble != "0") {
    world.LoseDisk(0);
  }
  const bool is_there = world.ReadBack(2, kRecovery + kTouch);
  record.Add(is_there ? "result: held" : "result: CONFIG is broken");
  std::cout << (is_there ? "held: the configuration is there\n"
                         : "broken: the configuration doesn't come\n");
  return is_there ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: replaced_machine FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2]);
}
