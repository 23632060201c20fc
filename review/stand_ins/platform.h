// A stand-in for the platform in front of one zone: asks its hosts each second
// whether they are ready, and chooses the host of each new connection.

#ifndef REVIEW_STAND_INS_PLATFORM_H_
#define REVIEW_STAND_INS_PLATFORM_H_

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "review/stand_ins/deployment.h"
#include "review/stand_ins/record.h"

namespace review {

class Platform {
 public:
  // All hosts are in rotation at first.
  Platform(const Deployment& deployment,
           std::vector<Host>& hosts,
           Record& record);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  // The number of the host that gets the next connection of the client.
  size_t ChooseHost(size_t client);

 private:
  void AskAll();
  void Ask(size_t number);

  const Deployment& deployment;
  std::vector<Host>& hosts;
  Record& record;
  std::mutex mutex;
  // Consecutive questions without a 200, of each host.
  std::vector<int> misses;
  std::atomic<bool> is_stopped = false;
  std::thread asker;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_PLATFORM_H_
