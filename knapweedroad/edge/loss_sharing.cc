#include "knapweedroad/edge/loss_sharing.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/loss_report.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// The parts of a scatter are lost within a moment of each other.
constexpr Duration kShareDelay = milliseconds(1);
constexpr Duration kReportTimeout = milliseconds(300);
constexpr Duration kConnectTimeout = milliseconds(100);
constexpr Duration kIdleTimeout = std::chrono::seconds(20);

}  // namespace

struct LossSharing::State : std::enable_shared_from_this<LossSharing::State> {
  State(Runtime& runtime, LossSharingOptions options)
      : runtime(runtime),
        options(std::move(options)),
        tokens(this->options.max_burst),
        refilled_at(Runtime::Now()) {}

  void Share(RequestFingerprint request);
  // Sends the report to hosts of this zone, and of others if it may be passed
  // on.
  void Send(LossReport report);
  std::vector<EntryHostRecord> Recipients(bool includes_other_zones) const;
  bool TakeTokens(size_t messages, bool is_important);
  void SendTo(const EntryHostRecord& host, const std::string& bytes);

  struct Link {
    Endpoint endpoint;
    std::shared_ptr<PeerClient> client;
    TimePoint last_used;
  };

  Runtime& runtime;
  LossSharingOptions options;
  std::unordered_map<HostId, Link> links;
  // Requests that are shared in a moment.
  std::set<RequestFingerprint> waiting;
  double tokens;
  TimePoint refilled_at;
  uint64_t sent = 0;
  uint64_t received = 0;
  uint64_t dropped = 0;
  // What `options` refers to may be gone.
  bool is_stopped = false;
};

std::vector<EntryHostRecord> LossSharing::State::Recipients(
    bool includes_other_zones) const {
  std::vector<EntryHostRecord> recipients;
  if (!this->options.entry_hosts) {
    return recipients;
  }
  std::map<ZoneId, size_t> hosts_of_zone;
  for (const EntryHostRecord& host : this->options.entry_hosts()) {
    if (host.host == this->options.self) {
      continue;
    }
    const bool is_own_zone = host.zone == this->options.zone;
    const bool is_wanted =
        is_own_zone ||
        (includes_other_zones &&
         hosts_of_zone[host.zone]++ < this->options.hosts_per_other_zone);
    if (is_wanted) {
      recipients.push_back(host);
    }
  }
  return recipients;
}

bool LossSharing::State::TakeTokens(size_t messages, bool is_important) {
  const TimePoint now = Runtime::Now();
  const double elapsed_s =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->tokens =
      std::min(this->options.max_burst,
               this->tokens + elapsed_s * this->options.messages_per_second);
  const double reserve = is_important ? 0 : this->options.max_burst / 2;
  const auto needed = static_cast<double>(messages);
  if (this->tokens < needed + reserve) {
    this->dropped += messages;
    return false;
  }
  this->tokens -= needed;
  return true;
}

void LossSharing::State::SendTo(const EntryHostRecord& host,
                                const std::string& bytes) {
  Link& link = this->links[host.host];
  if (link.client == nullptr || link.endpoint != host.peer_address) {
    link = {.endpoint = host.peer_address,
            .client = std::make_shared<PeerClient>(
                this->runtime,
                PeerClientOptions{.endpoint = host.peer_address,
                                  .connect_timeout = kConnectTimeout})};
  }
  link.last_used = Runtime::Now();
  ++this->sent;
  this->runtime.Spawn([client = link.client, bytes] {
    client->Call(PeerMessageType::kLossReport, bytes,
                 Runtime::Now() + kReportTimeout);
  });
}

void LossSharing::State::Send(LossReport report) {
  const std::vector<EntryHostRecord> recipients =
      this->Recipients(report.hops_left > 0);
  const bool is_important = report.lost.size() > 1;
  if (recipients.empty() ||
      !this->TakeTokens(recipients.size(), is_important)) {
    return;
  }
  // The own zone's hosts are told directly and pass nothing on.
  report.hops_left = 0;
  const std::string to_own_zone = EncodeCompact(report);
  report.hops_left = 1;
  const std::string to_others = EncodeCompact(report);
  for (const EntryHostRecord& host : recipients) {
    this->SendTo(host,
                 host.zone == this->options.zone ? to_own_zone : to_others);
  }
}

void LossSharing::State::Share(RequestFingerprint request) {
  auto report = this->options.detector.MakeReport(request);
  if (report) {
    report->hops_left = 1;
    this->Send(*std::move(report));
  }
}

LossSharing::LossSharing(Runtime& runtime, LossSharingOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

LossSharing::~LossSharing() {
  this->state->is_stopped = true;
}

void LossSharing::Share(RequestFingerprint request) {
  this->state->Share(request);
}

void LossSharing::ShareSoon(RequestFingerprint request) {
  if (!this->state->waiting.insert(request).second) {
    return;
  }
  this->state->runtime.Spawn([self = this->state, request] {
    Runtime::SleepFor(kShareDelay);
    self->waiting.erase(request);
    if (!self->is_stopped && self->options.detector.LossCount(request) > 1) {
      self->Share(request);
    }
  });
}

tl::expected<std::string, std::string> LossSharing::OnReport(
    const std::string& body) {
  auto report = DecodeCompact<LossReport>(body);
  if (!report) {
    return tl::unexpected("unreadable report: " + report.error());
  }
  ++this->state->received;
  const bool is_new =
      this->state->options.detector.Merge(*report, Runtime::Now());
  if (is_new && report->hops_left > 0) {
    report->hops_left = 0;
    this->state->Send(*std::move(report));
  }
  return std::string();
}

void LossSharing::Sweep(TimePoint now) {
  std::erase_if(this->state->links, [now](const auto& entry) {
    return now - entry.second.last_used > kIdleTimeout;
  });
}

uint64_t LossSharing::sent() const {
  return this->state->sent;
}

uint64_t LossSharing::received() const {
  return this->state->received;
}

uint64_t LossSharing::dropped() const {
  return this->state->dropped;
}

}  // namespace knapweedroad
