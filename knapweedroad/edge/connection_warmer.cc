#include "knapweedroad/edge/connection_warmer.h"

#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/request_gathers.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(200);

}  // namespace

ConnectionWarmer::ConnectionWarmer(const ConnectionWarmerOptions& options)
    : options(options) {}

void ConnectionWarmer::OnGathered(const ServiceId& service, TimePoint now) {
  this->last_used[service] = now;
}

void ConnectionWarmer::Tick(TimePoint now) {
  const EntryParts& parts = this->options.parts;
  if (now < this->next) {
    return;
  }
  this->next = now + this->options.interval;
  std::erase_if(this->last_used, [&](const auto& entry) {
    return now - entry.second > this->options.use_memory;
  });
  if (parts.balancer.ShouldCloseConnections(now)) {
    return;
  }
  size_t left = this->options.max_opened;
  for (const auto& [service, used] : this->last_used) {
    if (ShouldUseCoordinators(parts, service, now)) {
      left -= this->WarmService(service, left, now);
    }
  }
}

size_t ConnectionWarmer::WarmService(const ServiceId& service,
                                     size_t max_opened,
                                     TimePoint now) {
  EntryParts& parts = this->options.parts;
  size_t opened = 0;
  for (const TargetRecord* const target :
       parts.balancer.ReadyTargetsInZone(service, this->options.zone, now)) {
    if (opened == max_opened) {
      break;
    }
    if (parts.links.has_idle(target->id)) {
      continue;
    }
    ++opened;
    // An abandoned exchange keeps its connection and sends nothing.
    parts.links
        .Send({.target = target->id,
               .address = target->address,
               .deadline = now + kConnectTime},
              [](const TargetReply&) {})
        ->Abandon(kConnectTime, nullptr);
  }
  return opened;
}

}  // namespace knapweedroad
