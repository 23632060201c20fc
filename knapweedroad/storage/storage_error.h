#ifndef KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_
#define KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

namespace knapweedroad {

enum class StorageErrorKind : uint8_t {
  // Another process uses the data folder.
  kLocked,
  // A system call on a file failed. The record was not acknowledged.
  kIo,
  // Synced data has changed or cannot be used. The process must not start from
  // it.
  kCorrupted,
  // An earlier write or sync failed. The store accepts no more records.
  kFailed,
};

// An error of the files in the data folder.
struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kIo;
  // The file or folder concerned.
  std::string path;
  // The offset in bytes of the first corrupted record or marker in the file;
  // zero for other errors.
  uint64_t offset = 0;
  // A message for the log: what is wrong and, where the operator can act, what
  // to do.
  std::string detail;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_STORAGE_ERROR_H_
