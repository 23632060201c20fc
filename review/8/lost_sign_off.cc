// All processes are killed right after a searcher's sign-off was acknowledged.
// They are back within a second; the searcher must get nothing more.
//
//   lost_sign_off PROGRAM WIRE RECORD TROUBLE

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_2/callers.h"
#include "review/stand_ins_2/deployment.h"
#include "review/stand_ins_2/record.h"
#include "review/stand_ins_2/searcher.h"
#include "review/stand_ins_2/wire.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kDrainMs = 3000;
// Twice TouchMs, as the fault takes all of the core.
constexpr double kInTouchAfterMs = 8000;
// From the acknowledgement to the kill.
constexpr milliseconds kKillAfter{20};
constexpr milliseconds kDownFor{700};
// From the start to the sign-off. Traffic begins 5 s before, or more. Control
// hosts write what they know to disk twice a second; this is between two
// writes.
constexpr milliseconds kSignOffAt{9300};
// How long the searcher serves after the acknowledgement: DrainMs and some
// seconds more.
constexpr seconds kServesFor{15};

std::string Configuration() {
  return Fill("configuration",
              {{"version", "7"},
               {"routes", Fill("route", {{"name", "r1"},
                                         {"prefix", "/one/"},
                                         {"type", "safe"},
                                         {"service", "s1"}})},
               {"services", Fill("service", {{"name", "s1"}})}});
}

int Judge(const std::map<std::string, Sent>& sent,
          const std::vector<Run>& runs,
          double acknowledged,
          double in_touch) {
  size_t before = 0;
  size_t late = 0;
  size_t served = 0;
  for (const auto& [id, request] : sent) {
    served += request.status == 200 ? 1 : 0;
  }
  for (const Run& run : runs) {
    before += run.at_ms < acknowledged ? 1 : 0;
    const auto request = sent.find(run.request_id);
    const bool is_late = run.at_ms > acknowledged + kDrainMs &&
                         request != sent.end() &&
                         request->second.at_ms > in_touch;
    if (is_late) {
      ++late;
      Note("BROKEN: " + run.request_id + " reached the searcher " +
           std::to_string(run.at_ms - acknowledged) +
           " ms after its sign-off was acknowledged");
    }
  }
  const std::string line =
      "sent " + std::to_string(sent.size()) + ", served " +
      std::to_string(served) + ", at the searcher before its sign-off " +
      std::to_string(before) +
      ", later than DrainMs after it from machines in touch " +
      std::to_string(late);
  Note(line);
  std::cout << line << "\n";
  if (before == 0 || served * 2 < sent.size()) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

int Play(const std::string& program, bool has_trouble) {
  Deployment deployment(program, /*entries_per_zone=*/1);
  std::vector<std::string> control_ips;
  std::vector<std::string> entry_ips;
  for (const Host& host : deployment.hosts()) {
    (host.role == "control" ? control_ips : entry_ips).push_back(host.ip);
  }
  deployment.StartAll(/*is_first_start=*/true);
  const Clock::time_point sign_off_at = Clock::now() + kSignOffAt;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (size_t zone = 0; zone < kZones; ++zone) {
    searchers.push_back(std::make_unique<Searcher>(
        SearcherOptions{.id = "i-" + std::to_string(zone),
                        .service = "s1",
                        .zone = Deployment::Zone(zone),
                        .ip = deployment.Ip(zone, 50),
                        .control_ips = control_ips,
                        .slots = 4,
                        .queue = 12,
                        .work = milliseconds(5),
                        .seed = static_cast<uint32_t>(zone + 1)}));
    if (!searchers.back()->Start()) {
      return 2;
    }
  }
  if (!deployment.PutConfiguration(Configuration())) {
    return 2;
  }
  std::this_thread::sleep_for(seconds(3));
  Callers callers({.entry_ips = entry_ips,
                   .method = "GET",
                   .path = "/one/x",
                   .requests_per_second = 60});
  callers.Start();
  std::this_thread::sleep_until(sign_off_at);
  Searcher& leaving = *searchers.front();
  const std::string by = leaving.SignOff();
  const double acknowledged = Since();
  const Clock::time_point ends = Clock::now() + kServesFor;
  if (by.empty()) {
    return 2;
  }
  Note("sign-off of " + leaving.id() + " acknowledged by " + by);
  double in_touch = 0;
  if (has_trouble) {
    std::this_thread::sleep_for(kKillAfter);
    Note("all processes are killed");
    deployment.KillAll();
    std::this_thread::sleep_for(kDownFor);
    deployment.StartAll(/*is_first_start=*/false);
    in_touch = Since() + kInTouchAfterMs;
  }
  std::this_thread::sleep_until(ends);
  leaving.Stop();
  Note(leaving.id() + " has ended");
  std::this_thread::sleep_for(seconds(1));
  callers.Stop();
  const bool has_ended = deployment.HasEnded();
  for (const auto& searcher : searchers) {
    searcher->Stop();
  }
  return has_ended
             ? 2
             : Judge(callers.sent(), leaving.runs(), acknowledged, in_touch);
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
  return review::Play(words[1], std::string(words[4]) != "0");
}
