#include "review/stand_ins/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utility>

namespace review {

Process::Process(std::vector<std::string> command, std::string log_path)
    : command(std::move(command)), log_path(std::move(log_path)) {}

Process::~Process() {
  if (this->IsRunning()) {
    this->Signal(SIGCONT);
    this->Signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void Process::Start() {
  constexpr int kLogMode = 0644;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 1, this->log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  std::vector<char*> words;
  for (std::string& word : this->command) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  if (posix_spawn(&this->pid, words[0], &files, nullptr, words.data(),
                  environ) != 0) {
    this->pid = 0;
  }
  posix_spawn_file_actions_destroy(&files);
}

void Process::Signal(int signal) const {
  if (this->pid > 0) {
    kill(this->pid, signal);
  }
}

bool Process::IsRunning() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = 0;
  }
  return this->pid > 0;
}

}  // namespace review
