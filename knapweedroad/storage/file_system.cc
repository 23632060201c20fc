#include "knapweedroad/storage/file_system.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace knapweedroad {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0777;

class PosixFileSystem : public FileSystem {
 public:
  int Open(const std::string& path, int flags) override {
    return open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  }

  void Close(int file) override { close(file); }

  int Lock(int file) override { return flock(file, LOCK_EX | LOCK_NB); }

  ssize_t Read(int file, std::span<char> bytes, uint64_t offset) override {
    return pread(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
  }

  ssize_t Write(int file, std::string_view bytes, uint64_t offset) override {
    return pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
  }

  int Truncate(int file, uint64_t length) override {
    return ftruncate(file, static_cast<off_t>(length));
  }

  int Sync(int file) override { return fdatasync(file); }

  int Rename(const std::string& from, const std::string& to) override {
    return rename(from.c_str(), to.c_str());
  }

  int Remove(const std::string& path) override { return unlink(path.c_str()); }

  int CreateFolder(const std::string& path) override {
    return mkdir(path.c_str(), kFolderMode);
  }

  int List(const std::string& folder,
           std::vector<std::string>& names) override {
    DIR* opened = opendir(folder.c_str());
    if (opened == nullptr) {
      return -1;
    }
    errno = 0;
    while (const dirent* entry = readdir(opened)) {
      names.emplace_back(entry->d_name);
    }
    const int error = errno;
    closedir(opened);
    errno = error;
    return error == 0 ? 0 : -1;
  }
};

}  // namespace

FileSystem& SystemFiles() {
  static PosixFileSystem files;
  return files;
}

}  // namespace knapweedroad
