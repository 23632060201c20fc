#include "bench/query/experiment.h"

#include <cmath>
#include <memory>
#include <random>

#include "bench/query/event_queue.h"
#include "bench/query/experiment_host.h"

namespace knapweedroad::bench {
namespace {

constexpr uint32_t kUnits = 10;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double MeanServiceSeconds(const ExperimentOptions& options) {
  const double plain = Seconds(options.median_time) *
                       std::exp(options.sigma * options.sigma / 2);
  const double factor =
      1 + options.straggler_share * (options.straggler_factor - 1);
  return plain * factor;
}

FrontConfig MakeFront(const ExperimentOptions& options) {
  FrontConfig front;
  front.name = FrontId("front");
  front.policy = options.baseline ? AnswerPolicy::kCoverage : options.policy;
  front.tail_target = options.tail_target;
  front.minimum_coverage = options.minimum_coverage;
  front.hedge_quantile = options.hedge_quantile;
  front.hedge_budget = options.hedge_budget;
  front.tenants = options.tenants;
  GenerationConfig generation{.number = 1, .units = {}};
  for (uint32_t index = 0; index < options.services; ++index) {
    const ServiceId service("s" + std::to_string(index));
    // To the baseline all targets look alike, so that its choice is random.
    front.services.push_back(
        {.name = service,
         .searchers = options.searchers,
         .slots = options.baseline ? UINT32_MAX : options.slots});
    generation.units[service] = kUnits;
  }
  front.generations.push_back(std::move(generation));
  return front;
}

ZoneId ZoneName(uint32_t index) {
  return ZoneId("zone-" + std::to_string(index));
}

class Experiment {
 public:
  explicit Experiment(const ExperimentOptions& options)
      : options(options), front(MakeFront(options)), arrivals(options.seed) {
    this->fleet.service_times.seed(options.seed + 1);
    this->AddTargets();
    for (uint32_t index = 0; index < options.hosts; ++index) {
      const ZoneId zone =
          options.baseline ? ZoneId() : ZoneName(index % options.zones);
      this->hosts.push_back(std::make_unique<ExperimentHost>(
          this->events, this->fleet, this->options, this->front, zone,
          this->result));
    }
  }

  ExperimentResult Run() {
    for (const LoadPhase& phase : this->options.load) {
      this->end = std::max(this->end, phase.until);
      this->events.Post(phase.from, [this, &phase] { this->PostNext(phase); });
    }
    if (!this->options.baseline) {
      this->RefreshView();
    }
    this->events.Run();
    for (const auto& [id, target] : this->fleet.targets) {
      this->result.begun += target.searcher->begun();
      this->result.busy += target.searcher->busy();
    }
    return std::move(this->result);
  }

 private:
  void AddTargets() {
    const auto expected = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(MeanServiceSeconds(this->options)));
    uint32_t zone = 0;
    for (const ServiceConfig& service : this->front.services) {
      for (uint32_t index = 0; index < this->options.searchers; ++index) {
        const TargetId id(service.name.str() + "-" + std::to_string(index));
        const ZoneId name = ZoneName(zone++ % this->options.zones);
        this->fleet.targets[id] = {
            service.name, name,
            std::make_unique<Searcher>(
                this->events, SearcherOptions{.slots = this->options.slots,
                                              .expected_time = expected})};
        this->fleet.view[service.name].push_back(
            {.target = id,
             .zone = name,
             .state = TargetState::kReady,
             .snapshots = {{.generation = 1, .index_version = 1}}});
      }
    }
  }

  void RefreshView() {
    for (auto& [service, candidates] : this->fleet.view) {
      for (TargetCandidate& candidate : candidates) {
        const auto& target = this->fleet.targets.at(candidate.target);
        candidate.in_flight = target.searcher->running();
        candidate.queued = target.searcher->queued();
      }
    }
    if (this->events.now().time_since_epoch() < this->end) {
      this->events.Post(this->options.view_age,
                        [this] { this->RefreshView(); });
    }
  }

  void PostNext(const LoadPhase& phase) {
    std::exponential_distribution<double> gap(phase.queries_per_second);
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(this->arrivals)));
    const uint64_t host = this->arrivals() % this->hosts.size();
    if (this->events.now().time_since_epoch() + wait >= phase.until) {
      return;
    }
    this->events.Post(wait, [this, &phase, host] {
      this->hosts[host]->Ask(phase.tenant, phase.class_name);
      this->PostNext(phase);
    });
  }

  ExperimentOptions options;
  FrontConfig front;
  EventQueue events;
  Fleet fleet;
  ExperimentResult result;
  std::mt19937_64 arrivals;
  Duration end{};
  std::vector<std::unique_ptr<ExperimentHost>> hosts;
};

}  // namespace

ExperimentResult RunExperiment(const ExperimentOptions& options) {
  return Experiment(options).Run();
}

double Capacity(const ExperimentOptions& options) {
  return options.searchers * options.slots / MeanServiceSeconds(options);
}

}  // namespace knapweedroad::bench
