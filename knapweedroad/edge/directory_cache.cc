#include "knapweedroad/edge/directory_cache.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/blocking_thread.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

// What is known of targets is written down at most this often, and after a
// refusal of the disk not sooner than the pause.
constexpr Duration kSaveInterval = std::chrono::milliseconds(500);
constexpr Duration kPauseAfterRefusal = std::chrono::milliseconds(2000);
constexpr size_t kChecksumBytes = sizeof(uint64_t);

std::string Checksum(std::string_view bytes) {
  const uint64_t hash = XXH64(bytes.data(), bytes.size(), 0);
  std::string text(kChecksumBytes, '\0');
  std::memcpy(text.data(), &hash, kChecksumBytes);
  return text;
}

// The error's name; empty: the file is written and synced.
std::string WriteFile(const std::string& path, std::string_view bytes) {
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  if (file < 0) {
    return std::strerror(errno);
  }
  std::string error;
  while (!bytes.empty() && error.empty()) {
    const ssize_t written = write(file, bytes.data(), bytes.size());
    if (written < 0) {
      error = std::strerror(errno);
    } else {
      bytes.remove_prefix(static_cast<size_t>(written));
    }
  }
  if (error.empty() && fsync(file) != 0) {
    error = std::strerror(errno);
  }
  close(file);
  return error;
}

}  // namespace

struct DirectoryCache::State {
  State(Runtime& runtime, std::string folder)
      : path(std::move(folder) + "/directory"), disk(runtime) {}

  std::string Replace(const std::string& bytes) const {
    const std::string next = this->path + ".next";
    std::string error = WriteFile(next, bytes);
    // Without a sync of the folder the old file may be back after a loss of
    // power; it is as good a help.
    if (error.empty() && rename(next.c_str(), this->path.c_str()) != 0) {
      error = std::strerror(errno);
    }
    return error;
  }

  std::string path;
  BlockingThread disk;
};

DirectoryCache::DirectoryCache(Runtime& runtime, std::string folder)
    : state(std::make_unique<State>(runtime, std::move(folder))) {}

DirectoryCache::~DirectoryCache() = default;

DirectorySnapshot DirectoryCache::Load() const {
  std::ifstream file(this->state->path, std::ios::binary);
  if (!file) {
    return {};
  }
  std::ostringstream read;
  read << file.rdbuf();
  const std::string bytes = std::move(read).str();
  if (bytes.size() < kChecksumBytes ||
      Checksum(std::string_view(bytes).substr(kChecksumBytes)) !=
          bytes.substr(0, kChecksumBytes)) {
    LogLine("directory_cache_damaged").Add("path", this->state->path).Warning();
    return {};
  }
  auto snapshot = DecodeBytes<DirectorySnapshot>(
      std::string_view(bytes).substr(kChecksumBytes));
  if (!snapshot) {
    LogLine("directory_cache_unreadable")
        .Add("path", this->state->path)
        .Add("detail", snapshot.error())
        .Warning();
    return {};
  }
  return *std::move(snapshot);
}

bool DirectoryCache::Save(const DirectorySnapshot& snapshot) {
  const std::string body = EncodeBytes(snapshot);
  const std::string bytes = Checksum(body) + body;
  std::string error;
  this->state->disk.Run([&] { error = this->state->Replace(bytes); });
  if (!error.empty()) {
    LogLine("directory_cache_failed")
        .Add("path", this->state->path)
        .Add("detail", error)
        .Warning();
  }
  return error.empty();
}

void DirectoryCache::KeepSaved(const std::function<Revisions()>& revisions,
                               const std::function<DirectorySnapshot()>& take,
                               const std::function<bool()>& is_stopped) {
  Revisions saved;
  while (!is_stopped()) {
    Runtime::SleepFor(kSaveInterval);
    const Revisions now = revisions();
    if (now == saved) {
      continue;
    }
    if (this->Save(take())) {
      saved = now;
    } else {
      Runtime::SleepFor(kPauseAfterRefusal);
    }
  }
}

}  // namespace knapweedroad
