#ifndef KNAPWEEDROAD_STORAGE_RECORD_STORE_H_
#define KNAPWEEDROAD_STORAGE_RECORD_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/storage/storage_error.h"

namespace knapweedroad {

class FileSystem;
struct ParsedRecords;

struct RecordStoreOptions {
  // The data folder; created if it does not exist.
  std::string folder;
  // Tells the store's files from those of other stores in the folder.
  std::string name = "state";
  // Returns the whole state as one record, including the record that is being
  // appended. Each new file starts with it, so that a restart reads only one
  // file of bounded length.
  std::function<std::string()> snapshot;
  // The next append starts a new file once the current one is longer than this
  // and longer than eight times its first record.
  uint64_t max_file_bytes = 1 << 20;
  // For tests. Called before each sync, which fails if this returns true.
  std::function<bool()> sync_fails;
  // Must outlive the store; the file system of the process by default.
  FileSystem* files = nullptr;
};

// Counters since the start of Open().
struct RecordStoreStats {
  uint64_t appends = 0;
  uint64_t syncs = 0;
  uint64_t bytes_written = 0;
  uint64_t files_created = 0;
  // Records replayed by Open().
  uint64_t records_read = 0;
  // The length of the torn tail that Open() left out.
  uint64_t torn_bytes_truncated = 0;
};

// Stores the records of one process durably in one data folder.
//
//   auto store = RecordStore::Open({.folder = "/var/lib/knapweedroad",
//                                   .snapshot = [&] { return Encode(state); }},
//                                  [&](std::string_view record) { ... });
//   if (!store) return store.error();
//   auto result = (*store)->Append(record);
//   if (result) SendReply();  // The record is on the disk.
//
// Handles four failures:
//  - A crash or a loss of power during a write, which may leave any part of
//    what was written after the last sync. Open() leaves the torn tail out: it
//    had not been synced, so no reply depended on it.
//  - Corruption of synced data. Open() fails. A start from an older record
//    would lose a vote that had been sent.
//  - A record that a crashed process wrote but may not have synced, and that is
//    still readable. Open() writes and syncs it once more before it replays
//    any: after a failed sync the kernel may show what the disk does not hold.
//  - A failed sync. The kernel may drop the unwritten pages, and a second sync
//    may then report success, so every later Append() fails.
class RecordStore {
 public:
  // Locks the folder and passes the records of the newest file to `replay`,
  // oldest first. A new folder has no records. On an error, `replay` is not
  // called. Errors are kLocked, kIo and kCorrupted.
  static tl::expected<std::unique_ptr<RecordStore>, StorageError> Open(
      RecordStoreOptions options,
      const std::function<void(std::string_view record)>& replay);

  ~RecordStore();
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Writes and syncs the record, blocking the thread. When this returns without
  // an error, the record is on the disk, or a snapshot that includes it. The
  // first record of a new folder must contain the whole state, as a snapshot
  // does.
  //
  // Fails with kIo if a system call fails, and with kFailed on every call after
  // that. The record may then still be replayed after a restart, so the caller
  // must treat its outcome as unknown and restart the process.
  tl::expected<void, StorageError> Append(std::string_view record);

  const RecordStoreStats& stats() const { return this->counters; }

 private:
  explicit RecordStore(RecordStoreOptions options);

  using Outcome = tl::expected<void, StorageError>;
  bool IsFolder(const std::string& path) const;
  Outcome LockFolder();
  Outcome ReplayNewestFile(const std::function<void(std::string_view)>& replay);
  Outcome AppendToFile(std::string_view record);
  Outcome StartFile(std::string_view first_record);
  tl::expected<std::vector<uint64_t>, StorageError> ListFiles();
  tl::expected<std::string, StorageError> ReadFile(const std::string& path);
  Outcome RepairTail(std::string_view bytes, const ParsedRecords& parsed);
  Outcome ReplaceFile(std::string_view bytes);
  Outcome WriteAll(int file, std::string_view bytes);
  Outcome Sync(int file, const std::string& path);
  Outcome SyncFolder(const std::string& folder);
  Outcome SyncParentFolders();
  Outcome Fail(std::string path, std::string_view call);
  std::optional<uint64_t> FileNumber(std::string_view file_name) const;
  std::string FilePath(uint64_t number) const;

  RecordStoreOptions options;
  FileSystem* files;
  RecordStoreStats counters;
  bool failed = false;
  int lock_file = -1;
  int file = -1;
  uint64_t file_number = 0;
  uint64_t file_bytes = 0;
  uint64_t first_record_bytes = 0;
  uint64_t next_sequence = 1;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_RECORD_STORE_H_
