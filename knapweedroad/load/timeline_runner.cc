#include "knapweedroad/load/timeline_runner.h"

#include <utility>

#include "knapweedroad/load/load_runner.h"
#include "knapweedroad/load/target_controls.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

constexpr Duration kChangeTimeout = std::chrono::seconds(5);
constexpr int kStatusAccepted = 200;
constexpr int kMaxAttempts = 3;

}  // namespace

TimelineRunner::TimelineRunner(Runtime& runtime,
                               const LoadRunOptions& options,
                               TargetControls& controls)
    : runtime(&runtime), options(&options), controls(&controls) {
  for (const Endpoint& endpoint : options.operators) {
    this->operators.push_back(std::make_unique<HttpClient>(
        runtime,
        HttpClientOptions{.endpoint = endpoint, .max_connections = 2}));
  }
}

TimelineRunner::~TimelineRunner() = default;

void TimelineRunner::ResetDeployment() {
  for (const ZoneId& zone : std::exchange(this->zones_out_of_service, {})) {
    this->ChangeZone(zone, false);
  }
  if (this->options->controls.empty()) {
    return;
  }
  this->controls->SendFault(R"({"fault": "misbehave"})", {});
  this->controls->SendFault(R"({"fault": "mark_zone_in"})", {});
  if (this->options->warm_up_targets) {
    this->controls->SendFault(R"({"fault": "warm_up"})", {});
  }
  this->controls->SendFault(R"({"fault": "reset_counts"})", {});
}

void TimelineRunner::Start(TimePoint run_start) {
  this->pending_events = this->options->plan.timeline.size();
  for (const TimelineEvent& event : this->options->plan.timeline) {
    this->runtime->Spawn([this, &event, run_start] {
      Runtime::SleepUntil(run_start + event.at);
      this->ApplyEvent(event);
      --this->pending_events;
    });
  }
}

void TimelineRunner::ApplyEvent(const TimelineEvent& event) {
  if (!event.zone) {
    this->controls->SendFault(event.fault, {.targets = event.targets,
                                            .zone = event.target_zone,
                                            .every = event.every});
    return;
  }
  if (!this->ChangeZone(*event.zone, event.take_zone_out)) {
    this->failure_messages.push_back("zone " + event.zone->str() +
                                     " could not be taken " +
                                     (event.take_zone_out ? "out" : "in"));
    return;
  }
  if (event.take_zone_out) {
    this->zones_out_of_service.insert(*event.zone);
  } else {
    this->zones_out_of_service.erase(*event.zone);
  }
}

// Notifies the targets only after a host accepted the zone's removal, so that
// they count late work only once the tier must stop sending to the zone.
bool TimelineRunner::ChangeZone(const ZoneId& zone, bool out) {
  if (!out) {
    this->controls->SendFault(R"({"fault": "mark_zone_in"})", {.zone = zone});
  }
  HttpRequest request{.method = "POST"};
  request.path = "/v1/zones/" + zone.str() + (out ? "/out" : "/in");
  request.headers["Knapweed-Operator"] = "load";
  request.headers["Knapweed-Request-Id"] =
      this->options->run + "-zone-" + std::to_string(++this->zone_change_count);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    for (const auto& host : this->operators) {
      const auto answer = host->Send(request, Runtime::Now() + kChangeTimeout);
      if (!answer || answer->status != kStatusAccepted) {
        continue;
      }
      if (out) {
        this->controls->SendFault(R"({"fault": "mark_zone_out"})",
                                  {.zone = zone});
      }
      return true;
    }
  }
  return false;
}

}  // namespace knapweedroad
