// A program of the system as a process.

#ifndef REVIEW_STAND_INS_PROCESS_H_
#define REVIEW_STAND_INS_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

class Process {
 public:
  Process(std::vector<std::string> command, std::string log_path);
  // Kills it.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int signal) const;
  // Also collects its exit status.
  bool IsRunning();

 private:
  std::vector<std::string> command;
  std::string log_path;
  pid_t pid = 0;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_PROCESS_H_
