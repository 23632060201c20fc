#include "knapweedroad/edge/connection_warmer.h"

#include <algorithm>

#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/request_gathers.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(200);

}  // namespace

ConnectionWarmer::ConnectionWarmer(const ConnectionWarmerOptions& options)
    : options(options) {}

void ConnectionWarmer::Tick(TimePoint now) {
  const EntryParts& parts = this->options.parts;
  if (now < this->next || parts.table == nullptr ||
      parts.balancer.ShouldCloseConnections(now)) {
    return;
  }
  this->next = now + this->options.interval;
  size_t left = this->options.max_opened;
  for (const RouteConfig& route : parts.table->config().routes) {
    if (route.is_scatter && !route.services.empty()) {
      left -= this->WarmRoute(route, left, now);
    }
  }
}

size_t ConnectionWarmer::WarmRoute(const RouteConfig& route,
                                   size_t max_opened,
                                   TimePoint now) {
  EntryParts& parts = this->options.parts;
  if (!ShouldUseCoordinators(parts, route.services.front().service, now)) {
    return 0;
  }
  const std::span<const WeightedService> services = route.services;
  const size_t slices = parts.coordinators.SliceCount(services.size());
  size_t opened = 0;
  for (size_t slice = 0; slice < slices; ++slice) {
    const auto hosts =
        parts.coordinators.HostsOf(this->options.zone, slice, slices);
    if (std::ranges::find(hosts, parts.self, &EntryHostRecord::host) ==
        hosts.end()) {
      continue;
    }
    const size_t begin = FirstShardOf(slice, slices, services.size());
    const size_t end = FirstShardOf(slice + 1, slices, services.size());
    opened += this->WarmServices(services.subspan(begin, end - begin),
                                 max_opened - opened, now);
  }
  return opened;
}

size_t ConnectionWarmer::WarmServices(std::span<const WeightedService> services,
                                      size_t max_opened,
                                      TimePoint now) {
  EntryParts& parts = this->options.parts;
  size_t opened = 0;
  for (const WeightedService& service : services) {
    for (const TargetRecord* const target : parts.balancer.ReadyTargetsInZone(
             service.service, this->options.zone, now)) {
      if (opened == max_opened) {
        return opened;
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
  }
  return opened;
}

}  // namespace knapweedroad
