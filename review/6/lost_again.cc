// A control host loses its disk, and again as it joins the members; later
// another one loses its disk. What was acknowledged must still be read back.
//
//   lost_again PROGRAM WIRE RECORD TROUBLE
//
// TROUBLE is "0" for no loss, "single" without the losses as it joins.

#include <array>
#include <iostream>
#include <set>
#include <span>
#include <string>
#include <thread>

#include "review/stand_ins_2/deployment.h"
#include "review/stand_ins_2/http.h"
#include "review/stand_ins_2/record.h"
#include "review/stand_ins_2/wire.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A host that is restarted joins within some tens of milliseconds.
constexpr std::array kLostAfterStart = {milliseconds(10), milliseconds(16),
                                        milliseconds(22), milliseconds(30)};
constexpr milliseconds kDownFor{300};
// Longer than CatchUpS, 4 s: the host doesn't count as lost any more.
constexpr seconds kCaughtUp{6};
// RecoveryS is 12 s.
constexpr seconds kReadFor{20};

std::string Configuration(int version) {
  return Fill("configuration",
              {{"version", std::to_string(version)},
               {"routes", Fill("route", {{"name", "r1"},
                                         {"prefix", "/one/"},
                                         {"type", "safe"},
                                         {"service", "s1"}})},
               {"services", Fill("service", {{"name", "s1"}})}});
}

void LoseDiskAndStart(Deployment& deployment, const std::string& host) {
  deployment.KillOne(host);
  deployment.LoseDisk(host);
  std::this_thread::sleep_for(kDownFor);
  deployment.StartOne(host);
}

// The control hosts that answered a read with this version.
std::set<std::string> ReadBack(const Deployment& deployment, int version) {
  const std::string mark = "\"Version\":" + std::to_string(version) + ",";
  std::set<std::string> read;
  const Clock::time_point until = Clock::now() + kReadFor;
  while (Clock::now() < until && read.size() < kZones) {
    for (size_t zone = 0; zone < kZones; ++zone) {
      const std::string ip = deployment.Ip(zone, 1);
      const auto answer =
          Ask(ip, kControlPort, "GET", Wire("configuration_path"),
              "Host: control\r\n", "", milliseconds(1000));
      Note("read at " + ip + ": " +
           (answer ? std::to_string(answer->status) : "no answer"));
      if (answer && answer->status == 200 &&
          answer->body.find(mark) != std::string::npos) {
        read.insert(ip);
      }
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  return read;
}

int Play(const std::string& program, const std::string& trouble) {
  Deployment deployment(program, /*entries_per_zone=*/0);
  deployment.StartAll(/*is_first_start=*/true);
  if (!deployment.PutConfiguration(Configuration(7))) {
    return 2;
  }
  std::this_thread::sleep_for(kCaughtUp);
  for (const milliseconds after : kLostAfterStart) {
    if (trouble == "0") {
      break;
    }
    LoseDiskAndStart(deployment, "control-0");
    if (trouble != "single") {
      std::this_thread::sleep_for(after);
      LoseDiskAndStart(deployment, "control-0");
    }
    std::this_thread::sleep_for(kCaughtUp);
  }
  if (!deployment.PutConfiguration(Configuration(8))) {
    return 2;
  }
  if (trouble != "0") {
    LoseDiskAndStart(deployment, "control-1");
  }
  const std::set<std::string> read = ReadBack(deployment, 8);
  const std::string line =
      "control hosts that gave the acknowledged "
      "configuration back within 20 s: " +
      std::to_string(read.size()) + " of 3";
  Note((read.empty() ? "BROKEN: " : "") + line);
  std::cout << line << "\n";
  if (deployment.HasEnded()) {
    return 2;
  }
  return read.empty() ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const std::span<char*> words(argv, static_cast<size_t>(argc));
  if (words.size() != 5) {
    return 2;
  }
  review::LoadWire(words[2]);
  review::OpenRecord(words[3]);
  return review::Play(words[1], words[4]);
}
