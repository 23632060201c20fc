// A client of the control addresses of a deployment's stand-in searchers.
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

// Selects the targets of a fault: by name (see MatchesPatterns()) and zone, and
// of the matching targets every `every`-th.
struct TargetSelection {
  std::string targets = "*";
  std::optional<ZoneId> zone;
  uint32_t every = 1;
};

// Each call blocks the calling fiber. Failed requests are recorded in
// failures() with the target's control address.
class TargetControls {
 public:
  TargetControls(Runtime& runtime, const std::vector<Endpoint>& endpoints);
  ~TargetControls();

  // Requests each target's name and zone. Must be called before SendFault().
  void Discover();

  // Sends a fault to the selected targets and returns how many accepted it.
  // Records a failure if none did.
  size_t SendFault(const std::string& fault, const TargetSelection& selection);

  // Returns the counts of each target that answers.
  std::vector<TargetCounts> Counts();

  // Returns how often all targets together executed each request and key.
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

  // Returns the body of a 200 answer, or nullopt after recording a failure.
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
