#include "knapweedroad/edge/freshness_client.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/freshness/configuration_freshness.h"
#include "knapweedroad/freshness/confirm_messages.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(400);
// A call that took longer than this ended late because this process stood
// still, which says nothing about the control host.
constexpr Duration kStandstill = kCallTimeout + milliseconds(300);
// Without a fresh confirmation: between looks for a control host that has
// become responsive.
constexpr Duration kSearchInterval = milliseconds(100);
// From the end of a call to the next one to the same control host.
constexpr Duration kLeastGap = milliseconds(200);
constexpr Duration kRecheckInterval = milliseconds(1000);
// Calls of hosts that started together spread over time.
constexpr int kJitterPercent = 10;

}  // namespace

FreshnessClient::FreshnessClient(FreshnessClientOptions options)
    : options(std::move(options)),
      call_body(EncodeCompact(ConfirmCall{.sender = this->options.self})),
      random(std::random_device{}()) {}

bool FreshnessClient::IsFresh(std::optional<BootTime> confirmed_at) const {
  return confirmed_at &&
         this->options.now() - *confirmed_at <= this->options.max_age;
}

bool FreshnessClient::IsDue(const HostId& host, bool is_recheck) const {
  const auto found = this->asked.find(host);
  return found == this->asked.end() ||
         this->options.now() - found->second >=
             (is_recheck ? kRecheckInterval : kLeastGap);
}

bool FreshnessClient::TakeReply(std::string_view bytes, BootTime sent_at) {
  const auto reply = DecodeCompact<ConfirmReply>(bytes);
  // A confirmation can't begin after the arrival of the call; an offset that
  // says so would make the proof younger than it is. One of hours is no use
  // either, and could overflow.
  if (!reply || !reply->is_confirmed || reply->offset_us > 0 ||
      reply->offset_us < -microseconds(std::chrono::hours(1)).count()) {
    return false;
  }
  // The call was sent before it arrived, so that this is no later than the
  // begin of the confirmation.
  const BootTime confirmed_at = sent_at + microseconds(reply->offset_us);
  this->options.freshness.OnConfirmed(reply->version, confirmed_at);
  this->newest_confirmation =
      std::max(this->newest_confirmation.value_or(confirmed_at), confirmed_at);
  return this->IsFresh(confirmed_at);
}

bool FreshnessClient::Ask(const HostId& host) {
  const BootTime sent_at = this->options.now();
  const auto bytes =
      this->options.call(host, this->call_body, Runtime::Now() + kCallTimeout);
  if (this->is_stopped) {
    return false;
  }
  const BootTime ended_at = this->options.now();
  this->asked[host] = ended_at;
  if (bytes && this->TakeReply(*bytes, sent_at)) {
    this->unconfirmed.erase(host);
    this->options.on_confirmation(host, true);
    return true;
  }
  const bool stood_still = ended_at - sent_at > kStandstill;
  // A single lost reply isn't worth the lists that other control hosts send
  // when they are followed, too.
  if (!stood_still && !this->IsFresh(this->newest_confirmation)) {
    this->unconfirmed.insert(host);
    this->options.on_confirmation(host, false);
  }
  return false;
}

bool FreshnessClient::AskOnce() {
  bool is_confirmed = false;
  for (const HostId& host : this->options.control_hosts()) {
    const bool is_recheck = is_confirmed;
    if (is_recheck && !this->unconfirmed.contains(host)) {
      continue;
    }
    if (this->IsDue(host, is_recheck)) {
      is_confirmed |= this->Ask(host);
    }
    if (this->is_stopped) {
      break;
    }
  }
  return is_confirmed;
}

void FreshnessClient::Run() {
  std::uniform_int_distribution<int> percent(100 - kJitterPercent,
                                             100 + kJitterPercent);
  while (!this->is_stopped) {
    const TimePoint started = Runtime::Now();
    const Duration pause =
        this->AskOnce() ? this->options.interval : kSearchInterval;
    Runtime::SleepUntil(started + pause * percent(this->random) / 100);
  }
}

}  // namespace knapweedroad
