#include "knapweedroad/edge/routing_in_force.h"

#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {

RoutingInForce::RoutingInForce(RoutingInForceOptions options)
    : options(std::move(options)) {}

void RoutingInForce::OnAgreed(uint64_t agreed_version,
                              const std::string& text,
                              TimePoint now) {
  if (agreed_version <= this->version) {
    return;
  }
  const auto state = DecodeAgreedState(text);
  if (!state) {
    LogLine("agreed_state_unreadable")
        .Add("version", agreed_version)
        .Add("detail", state.error())
        .Error();
    return;
  }
  this->version = agreed_version;
  this->options.on_zones_out(state->zones_out);
  this->options.on_rollouts(state->rollouts);
  if (state->number == 0 || state->text == this->routing_text) {
    this->last_applied_version = agreed_version;
    return;
  }
  auto routing = this->options.read(state->text);
  if (!routing) {
    LogLine("configuration_unreadable")
        .Add("number", state->number)
        .Add("detail", routing.error())
        .Error();
    return;
  }
  this->routing_text = state->text;
  this->last_applied_version = agreed_version;
  this->newest = std::make_shared<RouteTable>(*std::move(routing));
  this->adoption.Offer(this->newest, now);
  this->Adopt(now);
  if (this->adoption.has_pending()) {
    LogLine("configuration_held_back")
        .Add("number", state->number)
        .Add("agreed_version", agreed_version)
        .Info();
  }
}

void RoutingInForce::Adopt(TimePoint now) {
  const auto table = this->adoption.Adopt(this->options.is_served, now);
  if (table == nullptr) {
    return;
  }
  this->options.on_in_force(table);
  LogLine("configuration_in_force")
      .Add("number", table->version())
      .Add("agreed_version", this->version)
      .Add("routes", table->config().routes.size())
      .Info();
}

}  // namespace knapweedroad
