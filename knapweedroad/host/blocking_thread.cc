#include "knapweedroad/host/blocking_thread.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

struct BlockingThread::State {
  explicit State(Runtime& runtime)
      : runtime(runtime), thread([this] { this->Loop(); }) {}

  void Loop() {
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
      this->changed.wait(
          lock, [this] { return this->is_stopping || !this->tasks.empty(); });
      if (this->tasks.empty()) {
        return;
      }
      const std::function<void()> task = std::move(this->tasks.front());
      this->tasks.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  Runtime& runtime;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  bool is_stopping = false;
  std::thread thread;
};

BlockingThread::BlockingThread(Runtime& runtime)
    : state(std::make_unique<State>(runtime)) {}

BlockingThread::~BlockingThread() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->is_stopping = true;
  }
  this->state->changed.notify_one();
  this->state->thread.join();
}

void BlockingThread::Run(std::function<void()> task) {
  FiberEvent done;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->tasks.emplace_back(
        [task = std::move(task), &done, runtime = &this->state->runtime] {
          task();
          runtime->Post([&done] { done.Set(); });
        });
  }
  this->state->changed.notify_one();
  done.Wait();
}

}  // namespace knapweedroad
