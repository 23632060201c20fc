// Errors of the files under the data folder.

#ifndef KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_
#define KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

namespace knapweedroad {

enum class StorageErrorKind : uint8_t {
  kLocked,     // another process uses the folder
  kIo,         // a call on a file failed; nothing was acknowledged
  kCorrupted,  // what had been synced reads differently: never started from
  kFailed,     // an earlier write or sync failed: the store takes no more
};

struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kIo;
  std::string path;
  // Of the first damaged byte; zero where that means nothing.
  uint64_t offset = 0;
  // What is wrong and what to do about it, for the log.
  std::string detail;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_
