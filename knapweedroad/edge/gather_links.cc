#include "knapweedroad/edge/gather_links.h"

#include <algorithm>
#include <utility>

#include <tl/expected.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/gather_codec.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The way there and back, and the host's own time.
constexpr Duration kReplySlack = milliseconds(40);
// A reply that is later than that by this isn't waited for.
constexpr Duration kLostAfter = milliseconds(260);
constexpr Duration kMoreTimeout = milliseconds(500);
constexpr Duration kEndTimeout = milliseconds(200);
constexpr Duration kFetchTimeout = milliseconds(200);
constexpr Duration kConnectTimeout = milliseconds(100);

}  // namespace

class GatherLinks::Exchange
    : public GatherExchange,
      public std::enable_shared_from_this<GatherLinks::Exchange> {
 public:
  Exchange(Runtime& runtime,
           RelayChoice& relays,
           std::shared_ptr<PeerClient> client,
           GatherOrder order)
      : runtime(runtime),
        relays(relays),
        client(std::move(client)),
        order(std::move(order)) {}

  void Run() {
    this->due = Runtime::Now() +
                microseconds(this->order.call.reply_within_us) + kReplySlack;
    this->relays.OnCalled(this->order.relay.host, this->due);
    auto reply =
        this->Call(PeerMessageType::kGather, EncodeCompact(this->order.call),
                   std::min(this->order.deadline, this->due + kLostAfter));
    if (!reply || reply->is_refused) {
      this->Lose(/*may_have_run=*/!reply && reply.error());
      return;
    }
    this->relays.OnReplied(this->order.relay.host, this->due);
    if (reply->is_unknown) {
      this->EndAsLost(/*may_have_run=*/false);
      return;
    }
    this->is_running = reply->running > 0;
    this->Tell(*std::move(reply));
    while (this->is_running && !this->is_over &&
           Runtime::Now() < this->order.deadline) {
      auto more =
          this->Call(PeerMessageType::kGatherMore,
                     EncodeCompact(GatherMoreCall{this->order.call.token}),
                     Runtime::Now() + kMoreTimeout);
      if (!more) {
        this->EndAsLost(/*may_have_run=*/true);
        return;
      }
      this->is_running = more->running > 0;
      this->Tell(*std::move(more));
    }
  }

  void End(Duration grace) override {
    if (std::exchange(this->is_over, true) || !this->is_running) {
      return;
    }
    this->runtime.Spawn([self = this->shared_from_this(), grace] {
      self->client->Call(
          PeerMessageType::kGatherEnd,
          EncodeCompact(GatherEndCall{.token = self->order.call.token,
                                      .grace_us = grace / microseconds(1)}),
          Runtime::Now() + kEndTimeout);
    });
  }

 private:
  // The error: whether the call may have reached the other host.
  tl::expected<GatherReply, bool> Call(PeerMessageType type,
                                       const std::string& bytes,
                                       TimePoint deadline) {
    const auto answered = this->client->Call(type, bytes, deadline);
    if (!answered) {
      return tl::unexpected(answered.error().written);
    }
    auto reply = DecodeGatherReply(*answered);
    if (!reply) {
      LogLine("gather_reply_unreadable")
          .Add("host", this->order.relay.host)
          .Add("detail", reply.error())
          .Error();
      return tl::unexpected(true);
    }
    return *std::move(reply);
  }

  void Tell(GatherReply reply) {
    if (!this->is_over && !reply.parts.empty()) {
      this->order.on_reply(std::move(reply));
    }
  }

  void EndAsLost(bool may_have_run) {
    this->is_running = false;
    if (!this->is_over) {
      this->order.on_lost(may_have_run);
    }
  }

  void Lose(bool may_have_run) {
    this->relays.OnFailed(this->order.relay.host, this->due, Runtime::Now());
    LogLine("gather_lost")
        .Add("request", this->order.request_id)
        .Add("host", this->order.relay.host)
        .Add("targets", this->order.call.targets.size())
        .Add("may_have_run", may_have_run)
        .Info();
    this->EndAsLost(may_have_run);
  }

  Runtime& runtime;
  RelayChoice& relays;
  std::shared_ptr<PeerClient> client;
  GatherOrder order;
  TimePoint due;
  // Attempts at the other host, as far as known.
  bool is_running = true;
  bool is_over = false;
};

GatherLinks::GatherLinks(Runtime& runtime, RelayChoice& relays)
    : runtime(runtime), relays(relays) {}

GatherLinks::~GatherLinks() = default;

std::shared_ptr<PeerClient> GatherLinks::ClientOf(
    const EntryHostRecord& relay) {
  Link& link = this->links[relay.host];
  if (link.client == nullptr || link.endpoint != relay.peer_address) {
    link = {.endpoint = relay.peer_address,
            .client = std::make_shared<PeerClient>(
                this->runtime,
                PeerClientOptions{.endpoint = relay.peer_address,
                                  .connect_timeout = kConnectTimeout})};
  }
  return link.client;
}

void GatherLinks::FetchHeld(
    const HeldRecords& held,
    std::function<void(std::optional<std::string> records)> on_records) {
  this->runtime.Spawn(
      [client = this->ClientOf(held.relay),
       call = GatherHeldCall{.token = held.token, .batch = held.batch},
       on_records = std::move(on_records)] {
        const auto bytes =
            client->Call(PeerMessageType::kGatherHeld, EncodeCompact(call),
                         Runtime::Now() + kFetchTimeout);
        if (!bytes) {
          on_records(std::nullopt);
          return;
        }
        auto reply = DecodeCompact<GatherHeldReply>(*bytes);
        const bool is_found = reply && reply->is_found;
        on_records(is_found ? std::optional(std::move(reply->records))
                            : std::nullopt);
      });
}

std::shared_ptr<GatherExchange> GatherLinks::Start(GatherOrder order) {
  const std::shared_ptr<PeerClient> client = this->ClientOf(order.relay);
  const auto exchange = std::make_shared<Exchange>(this->runtime, this->relays,
                                                   client, std::move(order));
  this->runtime.Spawn([exchange] { exchange->Run(); });
  return exchange;
}

}  // namespace knapweedroad
