// The control addresses of a deployment's stand-in searchers.
//
//   TargetControls controls(runtime, endpoints);
//   controls.Discover();
//   controls.SendFault(R"({"fault": "fall_cold"})", {.targets =
//   "redactie-1-*"});

#ifndef KNAPWEEDROAD_LOAD_TARGET_CONTROLS_H_
#define KNAPWEEDROAD_LOAD_TARGET_CONTROLS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/testing/history_checker.h"
#include "knapweedroad/testing/searcher_counts_json.h"

namespace knapweedroad {

class HttpClient;
class Runtime;

// Which targets a fault goes to: by name (see MatchesPatterns()), by zone, and
// of the rest each `every`th.
struct TargetSelection {
  std::string targets = "*";
  std::optional<ZoneId> zone;
  uint32_t every = 1;
};

// Each call blocks the calling fiber. A target that doesn't answer is named in
// failures().
class TargetControls {
 public:
  TargetControls(Runtime& runtime, const std::vector<Endpoint>& endpoints);
  ~TargetControls();

  // Asks each for its name and zone; SendFault() needs them.
  void Discover();

  // Sends a fault to the selected targets; how many took it.
  size_t SendFault(const std::string& fault, const TargetSelection& selection);

  // What each target counted so far.
  std::vector<TargetCounts> Counts();

  // What they executed, all together.
  ExecutionCounts Executions(const std::vector<std::string>& requests,
                             const std::vector<std::string>& keys);

  const std::vector<std::string>& failures() const {
    return this->failure_messages;
  }

 private:
  struct Control {
    std::string address;
    std::unique_ptr<HttpClient> client;
    TargetId target;
    ZoneId zone;
  };

  // The body of a 200 answer.
  std::optional<std::string> SendRequest(Control& control,
                                         const char* method,
                                         const char* path,
                                         const std::string& body);
  void AddExecutions(const std::string& body, ExecutionCounts& counts);

  Runtime* runtime;
  std::vector<Control> controls;
  std::vector<std::string> failure_messages;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_TARGET_CONTROLS_H_
