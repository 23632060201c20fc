#include "bench/query/searcher.h"

#include <algorithm>
#include <utility>

namespace knapweedroad::bench {

Searcher::Searcher(EventQueue& events, SearcherOptions options)
    : events(events), options(options) {}

void Searcher::Submit(Job job) {
  if (this->jobs.size() < this->options.slots) {
    this->Begin(std::move(job));
    return;
  }
  if (job.request.kind == AttemptKind::kHedge) {
    job.done(JobEnd::kRefused, {});
    return;
  }
  const int64_t ahead = int64_t{this->queue.PositionOf(job.request)} + 1;
  const Duration wait =
      this->options.expected_time * ahead / this->options.slots;
  const bool too_late = this->events.now() + wait >= job.request.deadline;
  if (too_late || this->queue.size() >= this->options.max_queue) {
    job.done(JobEnd::kRefused, wait);
    return;
  }
  this->queue.Push(job.request);
  this->waiting.emplace(job.request.attempt, std::move(job));
}

void Searcher::Cancel(const std::string& attempt) {
  if (this->queue.Remove(attempt)) {
    this->waiting.erase(attempt);
    return;
  }
  for (auto running = this->jobs.begin(); running != this->jobs.end();
       ++running) {
    if (running->job.request.attempt == attempt) {
      this->busy_time += this->events.now() - running->begun;
      this->jobs.erase(running);
      this->BeginNext();
      return;
    }
  }
}

void Searcher::Begin(Job job) {
  const uint64_t number = ++this->begun_jobs;
  const Duration time = job.service_time;
  this->jobs.push_back({std::move(job), this->events.now(), number});
  this->events.Post(time, [this, number] { this->End(number); });
}

void Searcher::End(uint64_t number) {
  const auto running = std::ranges::find(this->jobs, number, &Running::number);
  if (running == this->jobs.end()) {
    return;
  }
  this->busy_time += this->events.now() - running->begun;
  const auto done = std::move(running->job.done);
  this->jobs.erase(running);
  done(JobEnd::kAnswered, {});
  this->BeginNext();
}

void Searcher::BeginNext() {
  while (!this->queue.empty() && this->jobs.size() < this->options.slots) {
    const std::string attempt = this->queue.Pop()->attempt;
    Job job = std::move(this->waiting.extract(attempt).mapped());
    if (this->events.now() >= job.request.deadline) {
      job.done(JobEnd::kExpired, {});
    } else {
      this->Begin(std::move(job));
    }
  }
}

}  // namespace knapweedroad::bench
