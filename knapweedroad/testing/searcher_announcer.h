// Sends a target's reports to the hosts: each interval to one of them, in
// turn, and to the next at once where one fails.
//
//   SearcherAnnouncer announcer(runtime, {.host_addresses = hosts, ...});
//   announcer.Start();

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_ANNOUNCER_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_ANNOUNCER_H_

#include <functional>
#include <memory>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

class Runtime;

struct SearcherAnnouncerOptions {
  std::vector<Endpoint> host_addresses;
  Duration interval{};
  std::function<TargetReport()> make_report;
  // A host has answered 200.
  std::function<void()> on_taken;
};

class SearcherAnnouncer {
 public:
  SearcherAnnouncer(Runtime& runtime, SearcherAnnouncerOptions options);
  // Reports no more.
  ~SearcherAnnouncer();

  void Start();

  // Sends a report at once, besides the usual ones.
  void ReportNow();

  // Sends nothing for that long.
  void Pause(Duration duration);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_ANNOUNCER_H_
