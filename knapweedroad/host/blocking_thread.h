// A thread for calls that block, such as a sync of a file: only the calling
// fiber waits, the other fibers go on.
//
//   BlockingThread disk(runtime);
//   disk.Run([&] { synced = store.Append(record); });

#ifndef KNAPWEEDROAD_HOST_BLOCKING_THREAD_H_
#define KNAPWEEDROAD_HOST_BLOCKING_THREAD_H_

#include <functional>
#include <memory>

namespace knapweedroad {

class Runtime;

class BlockingThread {
 public:
  explicit BlockingThread(Runtime& runtime);
  // Waits for the task that runs. No fiber may be inside Run().
  ~BlockingThread();
  BlockingThread(const BlockingThread&) = delete;
  BlockingThread& operator=(const BlockingThread&) = delete;

  // Runs `task` on the thread, one task at a time in the order of the calls,
  // and blocks the calling fiber of the runtime's thread until it is done.
  void Run(std::function<void()> task);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_BLOCKING_THREAD_H_
