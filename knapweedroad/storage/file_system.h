// The system calls of a RecordStore, so that a test can stand in for a disk.

#ifndef KNAPWEEDROAD_STORAGE_FILE_SYSTEM_H_
#define KNAPWEEDROAD_STORAGE_FILE_SYSTEM_H_

#include <sys/types.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedroad {

// Each call returns a negative number and sets errno if it fails, as the POSIX
// call does.
class FileSystem {
 public:
  FileSystem() = default;
  virtual ~FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;

  virtual int Open(const std::string& path, int flags) = 0;
  virtual void Close(int file) = 0;
  // Fails with EWOULDBLOCK if another process holds the lock.
  virtual int Lock(int file) = 0;
  virtual ssize_t Read(int file, std::span<char> bytes, uint64_t offset) = 0;
  virtual ssize_t Write(int file, std::string_view bytes, uint64_t offset) = 0;
  virtual int Truncate(int file, uint64_t length) = 0;
  // Syncs the content of a file, or the names in a folder.
  virtual int Sync(int file) = 0;
  virtual int Rename(const std::string& from, const std::string& to) = 0;
  virtual int Remove(const std::string& path) = 0;
  virtual int CreateFolder(const std::string& path) = 0;
  // Appends the names in the folder to `names`.
  virtual int List(const std::string& folder,
                   std::vector<std::string>& names) = 0;
};

// Returns the file system of this process.
FileSystem& SystemFiles();

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_FILE_SYSTEM_H_
