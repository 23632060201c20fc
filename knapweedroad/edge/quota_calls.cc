#include "knapweedroad/edge/quota_calls.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/edge/quota_service.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

// A control host that didn't answer a call over a spare connection is left out
// for this long.
constexpr Duration kSpareBackoff = std::chrono::seconds(2);

uint64_t RankOf(const HostId& self, const HostId& host) {
  return XXH64(host.str().data(), host.str().size(),
               XXH64(self.str().data(), self.str().size(), 1));
}

template <typename Call>
tl::expected<std::string, std::string> Answer(QuotaService& quota,
                                              const std::string& body) {
  const auto call = DecodePacked<Call>(body);
  if (!call) {
    return tl::unexpected("unreadable call: " + call.error());
  }
  return EncodePacked(quota.Answer(*call));
}

template <typename Reply>
std::optional<Reply> Read(const HostId& host,
                          const tl::expected<std::string, NetError>& bytes) {
  if (!bytes) {
    return std::nullopt;
  }
  auto reply = DecodePacked<Reply>(*bytes);
  if (!reply) {
    LogLine("quota_reply_unreadable")
        .Add("host", host)
        .Add("detail", reply.error())
        .Warning();
    return std::nullopt;
  }
  return *std::move(reply);
}

}  // namespace

tl::expected<std::string, std::string> AnswerPermitCall(
    QuotaService& quota,
    const std::string& body) {
  return Answer<PermitCall>(quota, body);
}

tl::expected<std::string, std::string> AnswerRefillCall(
    QuotaService& quota,
    const std::string& body) {
  return Answer<RefillCall>(quota, body);
}

std::optional<RefillReply> SendRefillCall(ControlFollower& follower,
                                          const HostId& host,
                                          const RefillCall& call,
                                          TimePoint deadline) {
  return Read<RefillReply>(host, follower.Call(host, PeerMessageType::kRefill,
                                               EncodePacked(call), deadline));
}

PermitCaller::PermitCaller(Runtime& runtime,
                           ControlFollower& follower,
                           HostId self)
    : runtime(runtime), follower(follower), self(std::move(self)) {}

PermitCaller::~PermitCaller() = default;

std::vector<HostId> PermitCaller::Hosts() const {
  std::vector<HostId> hosts = this->follower.ResponsiveHosts();
  if (hosts.size() != 1) {
    return hosts;
  }
  const HostId followed = hosts.front();
  const TimePoint now = Runtime::Now();
  for (const HostId& host : this->follower.KnownHosts()) {
    const auto spare = this->spares.find(host);
    const bool has_failed = spare != this->spares.end() &&
                            spare->second.failed_at &&
                            now - *spare->second.failed_at < kSpareBackoff;
    if (host != followed && !has_failed) {
      hosts.push_back(host);
    }
  }
  // In an order that differs between entry hosts, so that they don't all turn
  // to the same control host when one is lost.
  std::sort(hosts.begin() + 1, hosts.end(),
            [this](const HostId& left, const HostId& right) {
              return RankOf(this->self, left) < RankOf(this->self, right);
            });
  return hosts;
}

std::optional<PermitReply> PermitCaller::Call(const HostId& host,
                                              const PermitCall& call,
                                              TimePoint deadline) {
  const std::string bytes = EncodePacked(call);
  const std::vector<HostId> followed = this->follower.ResponsiveHosts();
  if (std::ranges::find(followed, host) != followed.end()) {
    return Read<PermitReply>(
        host,
        this->follower.Call(host, PeerMessageType::kPermit, bytes, deadline));
  }
  std::shared_ptr<PeerClient> client = this->spares[host].client;
  if (client == nullptr) {
    client = std::make_shared<PeerClient>(
        this->runtime, PeerClientOptions{.endpoint = EndpointOf(host)});
    this->spares[host].client = client;
  }
  const auto reply = client->Call(PeerMessageType::kPermit, bytes, deadline);
  Spare& spare = this->spares[host];
  spare.failed_at = reply ? std::nullopt : std::optional(Runtime::Now());
  return Read<PermitReply>(host, reply);
}

}  // namespace knapweedroad
