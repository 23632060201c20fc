#include "knapweedroad/query/idempotency_table.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

BeginResult AnswerNow(RecordResult result) {
  return {.decision = BeginDecision::kAnswer, .result = std::move(result)};
}

QueryRefusal UnknownOutcome(const char* detail) {
  return {.status = 503,
          .title = "Outcome unknown",
          .detail = detail,
          .outcome = RunOutcome::kUnknown};
}

QueryRefusal RefuseNotRun(int status,
                          const char* detail,
                          Duration retry_after) {
  return {.status = status,
          .title = "Not run",
          .detail = detail,
          .outcome = RunOutcome::kNotRun,
          .retry_after = retry_after};
}

bool DidNotRun(const RecordResult& result) {
  const auto* refusal = std::get_if<QueryRefusal>(&result);
  return refusal != nullptr && refusal->outcome == RunOutcome::kNotRun;
}

size_t BodyBytes(const RecordResult& result) {
  const auto* reply = std::get_if<RecordReply>(&result);
  return reply == nullptr ? 0 : reply->body.size();
}

}  // namespace

IdempotencyTable::IdempotencyTable(IdempotencyTableOptions options)
    : options(std::move(options)) {}

BeginResult IdempotencyTable::Begin(std::string_view key,
                                    std::string_view request,
                                    WaiterId waiter,
                                    TimePoint now,
                                    TimePoint deadline) {
  this->RemoveExpired(now);
  const auto found = this->by_key.find(key);
  if (found == this->by_key.end()) {
    return this->BeginNewKey(key, request, now, deadline);
  }
  Entry& entry = *found->second;
  if (entry.request != request) {
    return AnswerNow(
        RefuseNotRun(400, "the key was used for another request", {}));
  }
  // Each send restarts the resend window.
  entry.last_sent = now;
  this->entries.splice(this->entries.end(), this->entries, found->second);
  return this->BeginExistingKey(entry, waiter, now);
}

BeginResult IdempotencyTable::BeginNewKey(std::string_view key,
                                          std::string_view request,
                                          TimePoint now,
                                          TimePoint deadline) {
  const auto since = this->options.responsible_since(key);
  if (!since) {
    return AnswerNow(
        RefuseNotRun(503, "another host is responsible for the key", {}));
  }
  if (this->entries.size() >= this->options.max_keys) {
    return AnswerNow(RefuseNotRun(503, "too many keys are remembered",
                                  this->TimeUntilFreeEntry(now)));
  }
  Entry entry{.key = std::string(key),
              .request = std::string(request),
              .last_sent = now,
              .deadline = deadline,
              .result = std::nullopt,
              .waiters = {}};
  // A key that is not in the table may have run on the previous host. If it was
  // first sent before this host took over, its next send arrives less than
  // `resend_window` after the takeover. That send gets an unknown outcome,
  // which is stored, so that later sends do not run either.
  if (now < *since + this->options.resend_window) {
    entry.result = UnknownOutcome("it may have begun on a host that was lost");
  }
  const auto result = entry.result;
  this->Insert(std::move(entry));
  return result ? AnswerNow(*result)
                : BeginResult{.decision = BeginDecision::kRun};
}

BeginResult IdempotencyTable::BeginExistingKey(Entry& entry,
                                               WaiterId waiter,
                                               TimePoint now) {
  if (entry.result) {
    return AnswerNow(*entry.result);
  }
  if (now >= entry.deadline) {
    return AnswerNow(UnknownOutcome("it began, and its end was not seen"));
  }
  entry.waiters.push_back(waiter);
  return {.decision = BeginDecision::kWait};
}

std::vector<WaiterId> IdempotencyTable::Finish(std::string_view key,
                                               const RecordResult& result,
                                               TimePoint now) {
  const auto found = this->by_key.find(key);
  if (found == this->by_key.end() || found->second->result) {
    return {};
  }
  Entry& entry = *found->second;
  std::vector<WaiterId> waiters = std::move(entry.waiters);
  entry.waiters.clear();
  if (DidNotRun(result)) {
    this->Erase(found->second);
    return waiters;
  }
  const size_t bytes = BodyBytes(result);
  if (this->answer_bytes + bytes > this->options.max_answer_bytes) {
    entry.result = QueryRefusal{.status = 503,
                                .title = "Answer not kept",
                                .detail =
                                    "it ran; its answer is too large to "
                                    "be kept for a resend",
                                .outcome = RunOutcome::kRun};
  } else {
    entry.result = result;
    this->answer_bytes += bytes;
  }
  this->RemoveExpired(now);
  return waiters;
}

void IdempotencyTable::RemoveWaiter(std::string_view key, WaiterId waiter) {
  const auto found = this->by_key.find(key);
  if (found != this->by_key.end()) {
    std::erase(found->second->waiters, waiter);
  }
}

std::vector<IdempotencyRecord> IdempotencyTable::Export(TimePoint now) const {
  std::vector<IdempotencyRecord> records;
  for (const Entry& entry : this->entries) {
    records.push_back({.key = entry.key,
                       .request = entry.request,
                       .result = entry.result.value_or(UnknownOutcome(
                           "it ran on another host when that host left")),
                       .since_last_send = now - entry.last_sent});
  }
  return records;
}

void IdempotencyTable::Import(std::vector<IdempotencyRecord> records,
                              TimePoint now) {
  for (IdempotencyRecord& record : records) {
    if (this->by_key.contains(record.key)) {
      continue;
    }
    this->answer_bytes += BodyBytes(record.result);
    this->Insert({.key = std::move(record.key),
                  .request = std::move(record.request),
                  .last_sent = now - record.since_last_send,
                  .deadline = now,
                  .result = std::move(record.result),
                  .waiters = {}});
  }
  this->entries.sort([](const Entry& left, const Entry& right) {
    return left.last_sent < right.last_sent;
  });
}

void IdempotencyTable::Insert(Entry entry) {
  this->entries.push_back(std::move(entry));
  const auto inserted = std::prev(this->entries.end());
  this->by_key.emplace(inserted->key, inserted);
}

void IdempotencyTable::RemoveExpired(TimePoint now) {
  while (!this->entries.empty()) {
    const Entry& oldest = this->entries.front();
    const bool is_running = !oldest.result && now < oldest.deadline;
    if (is_running || now <= oldest.last_sent + this->options.resend_window) {
      return;
    }
    this->Erase(this->entries.begin());
  }
}

void IdempotencyTable::Erase(Entries::iterator entry) {
  if (entry->result) {
    this->answer_bytes -= BodyBytes(*entry->result);
  }
  this->by_key.erase(entry->key);
  this->entries.erase(entry);
}

Duration IdempotencyTable::TimeUntilFreeEntry(TimePoint now) const {
  if (this->entries.empty()) {
    return kDefaultRetryAfter;
  }
  const TimePoint expires =
      this->entries.front().last_sent + this->options.resend_window;
  return std::max<Duration>(expires - now, Duration::zero());
}

}  // namespace knapweedroad
