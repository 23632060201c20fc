// A control host loses its disk, and loses it again right after it has
// acknowledged the change that makes it a member anew. It comes back, and all
// is calm for longer than a host needs to catch up. Then another control host
// loses its disk right after a configuration was acknowledged. With one disk
// lost at a time, the configuration must still be there.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

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
// Beyond the time to catch up.
constexpr Milliseconds kMargin(4000);
constexpr Milliseconds kReadTimeout(2000);
constexpr Milliseconds kBetweenReads(500);
constexpr Milliseconds kJoinsWithin(5000);
constexpr std::chrono::microseconds kLook(50);
// More than a blank replica and a promise take on the disk; the value that a
// host accepts as it joins is larger.
constexpr uintmax_t kBytesWithoutValue = 400;
constexpr int kTimeoutMs = 2500;
constexpr int kOk = 200;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

uintmax_t BytesOnDisk(const std::string& folder) {
  uintmax_t bytes = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().filename().string().starts_with("state-")) {
      const uintmax_t size = entry.file_size(error);
      bytes += error ? 0 : size;
    }
  }
  return bytes;
}

class World {
 public:
  World(const std::string& folder, Record& record)
      : folder(folder),
        record(record),
        deployment({.binary = "target/bin/knapweedroad",
                    .folder = folder,
                    .control_zones = {"zone-a", "zone-b", "zone-c"},
                    .entry_zones = {"zone-a"}},
                   record),
        caller(this->deployment.ControlEndpoints(), record) {}

  bool Start() {
    this->deployment.StartAll();
    return this->Put(1, kReadyWithin) &&
           this->deployment.AwaitReady(kReadyWithin);
  }

  bool Put(uint64_t version, Milliseconds resend_for) {
    return this->caller
        .Order(PutConfiguration("safe", kTimeoutMs, version), 1, resend_for)
        .has_value();
  }

  void LoseDisk(size_t number) {
    Host& host = this->deployment.controls()[number];
    host.process->Signal(SIGKILL);
    this->record.Add(host.name + " loses its disk");
    while (host.process->IsRunning()) {
      std::this_thread::sleep_for(kLook);
    }
    std::filesystem::remove_all(this->DataFolder(number));
  }

  void ComeBack(size_t number) {
    std::this_thread::sleep_for(kDown);
    this->deployment.Restart(this->deployment.controls()[number]);
  }

  // Until the host has accepted the value with which it joins.
  bool AwaitAcceptance(size_t number) {
    const TimePoint give_up = Clock::now() + kJoinsWithin;
    while (BytesOnDisk(this->DataFolder(number)) < kBytesWithoutValue) {
      if (Clock::now() >= give_up) {
        return false;
      }
      std::this_thread::sleep_for(kLook);
    }
    return true;
  }

  // Reads the configuration at each host in turn, for `time` at most. Whether
  // it came.
  bool ReadBack(uint64_t version, Milliseconds time) {
    const std::string wanted =
        WireText("configuration_begin", {{"version", std::to_string(version)}});
    const TimePoint give_up = Clock::now() + time;
    bool is_read = false;
    for (size_t i = 0; !is_read && Clock::now() < give_up; ++i) {
      const Endpoint host = this->deployment.ControlEndpoints()[i % 3];
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
  std::string DataFolder(size_t number) {
    return this->folder + "/data-" + this->deployment.controls()[number].name;
  }

  std::string folder;
  Record& record;
  Deployment deployment;
  Operator caller;
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
  if (trouble != "0") {
    world.LoseDisk(0);
    world.ComeBack(0);
  }
  if (trouble == "1") {
    if (!world.AwaitAcceptance(0)) {
      record.Add("result: the host didn't join");
      return kCouldNotRun;
    }
    world.LoseDisk(0);
    world.ComeBack(0);
  }
  std::this_thread::sleep_for(kCatchUp + kMargin);
  if (!world.Put(2, kAckTimeout)) {
    record.Add("result: the configuration wasn't acknowledged");
    return kCouldNotRun;
  }
  if (trouble != "0") {
    world.LoseDisk(2);
    world.ComeBack(2);
  }
  const bool is_there = world.ReadBack(2, kRecovery + kTouch);
  record.Add(is_there ? "result: held" : "result: LOST is broken");
  std::cout << (is_there ? "held: the configuration is there\n"
                         : "broken: the configuration doesn't come\n");
  return is_there ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: lost_configuration FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2]);
}
