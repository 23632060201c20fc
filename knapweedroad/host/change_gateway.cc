#include "knapweedroad/host/change_gateway.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/host/operator_change.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

// For the reply's own way back.
constexpr Duration kReplyMargin = std::chrono::milliseconds(100);

// A release that knows more keys may have sent it: nothing that this host
// can't read is agreed with its help.
std::optional<std::string> WhyUnusable(const ChangeCall& call) {
  const auto* whole = std::get_if<WholeConfiguration>(&call.change);
  if (whole == nullptr) {
    return std::nullopt;
  }
  const auto parsed = ParseDeployment(whole->text, "configuration");
  if (parsed) {
    return std::nullopt;
  }
  return parsed.error().front().ToString();
}

bool MayBeSettledElsewhere(const ChangeOutcome& outcome) {
  return outcome.result == ChangeResult::kUnknown &&
         outcome.reason == ChangeReason::kNoQuorum;
}

}  // namespace

ChangeGateway::ChangeGateway(ChangeGatewayOptions options)
    : options(std::move(options)) {
  if (!this->options.now) {
    this->options.now = [] { return Runtime::Now(); };
  }
  if (!this->options.pause) {
    this->options.pause = [](Duration time) { Runtime::SleepFor(time); };
  }
}

ChangeOutcome ChangeGateway::Change(const ChangeCall& call,
                                    TimePoint deadline) {
  if (this->options.change) {
    return this->ChangeHere(call, deadline);
  }
  ChangeOutcome outcome{.reason = ChangeReason::kNoQuorum,
                        .detail = "no control replica could be reached"};
  this->AskReplicas({.work = call}, deadline, [&](const OperatorReply& reply) {
    const auto* answer = std::get_if<ChangeOutcome>(&reply);
    if (answer == nullptr) {
      return false;
    }
    outcome = *answer;
    return !MayBeSettledElsewhere(outcome);
  });
  return outcome;
}

std::optional<AgreedConfiguration> ChangeGateway::Read(TimePoint deadline) {
  if (this->options.read) {
    return this->ReadHere(deadline);
  }
  std::optional<AgreedConfiguration> agreed;
  this->AskReplicas(
      {.work = ReadCall()}, deadline, [&](const OperatorReply& reply) {
        const auto* answer = std::get_if<AgreedConfiguration>(&reply);
        if (answer != nullptr) {
          agreed = *answer;
        }
        return answer != nullptr;
      });
  return agreed;
}

tl::expected<std::string, std::string> ChangeGateway::Answer(
    std::string_view body) {
  const auto call = DecodeBytes<OperatorCall>(body);
  if (!call) {
    return tl::unexpected(call.error());
  }
  const TimePoint deadline = this->options.now() + Duration(call->remaining_ns);
  OperatorReply reply = NotReplica();
  if (const auto* change = std::get_if<ChangeCall>(&call->work)) {
    if (this->options.change) {
      reply = this->ChangeHere(*change, deadline);
    }
  } else if (this->options.read) {
    reply = NoQuorum();
    if (auto agreed = this->ReadHere(deadline)) {
      reply = *std::move(agreed);
    }
  }
  return EncodeBytes(reply);
}

void ChangeGateway::AskReplicas(OperatorCall call,
                                TimePoint deadline,
                                const IsSettled& is_settled) {
  while (this->options.replicas && this->options.now() < deadline) {
    const auto replicas = this->options.replicas();
    if (replicas.empty()) {
      return;
    }
    for (const HostId& host : replicas) {
      const auto reply = this->AskOne(host, call, deadline);
      if (reply && is_settled(*reply)) {
        return;
      }
    }
    // While all replicas refuse connections the fiber would never yield.
    this->options.pause(this->options.round_pause);
  }
}

std::optional<OperatorReply> ChangeGateway::AskOne(const HostId& host,
                                                   OperatorCall& call,
                                                   TimePoint deadline) {
  const TimePoint now = this->options.now();
  if (now >= deadline) {
    return std::nullopt;
  }
  const Duration wait =
      std::min<Duration>(deadline - now, this->options.try_timeout);
  const Duration remaining = std::max<Duration>(wait - kReplyMargin, wait / 2);
  call.remaining_ns = static_cast<uint64_t>(remaining.count());
  const auto bytes = this->options.call(host, PeerMessageType::kChange,
                                        EncodeBytes(call), now + wait);
  if (!bytes) {
    LogLine("control_call_failed")
        .Add("host", host)
        .Add("detail", bytes.error().detail)
        .Warning();
    return std::nullopt;
  }
  auto reply = DecodeBytes<OperatorReply>(*bytes);
  if (!reply) {
    LogLine("control_reply_broken").Add("host", host).Error();
    return std::nullopt;
  }
  return *std::move(reply);
}

ChangeOutcome ChangeGateway::ChangeHere(const ChangeCall& call,
                                        TimePoint deadline) {
  if (auto why = WhyUnusable(call)) {
    return {.result = ChangeResult::kRejected,
            .reason = ChangeReason::kRefused,
            .detail = *std::move(why)};
  }
  return this->options.change(MakeChangeRequest(call), deadline);
}

std::optional<AgreedConfiguration> ChangeGateway::ReadHere(TimePoint deadline) {
  auto value = this->options.read(deadline);
  if (!value) {
    return std::nullopt;
  }
  return AgreedConfiguration{.version = value->version,
                             .text = std::move(value->configuration)};
}

}  // namespace knapweedroad
