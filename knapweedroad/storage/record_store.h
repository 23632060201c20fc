// The durable records of one process under one data folder.
//
//   auto store = RecordStore::Open({.folder = "/var/lib/knapweedroad",
//                                   .snapshot = [&] { return Encode(state); }},
//                                  [&](std::string_view record) { ... });
//   if (!store) Refuse(store.error());
//   auto synced = (*store)->Append(record);   // on the disk once it returns

#ifndef KNAPWEEDROAD_STORAGE_RECORD_STORE_H_
#define KNAPWEEDROAD_STORAGE_RECORD_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/storage/storage_error.h"

namespace knapweedroad {

struct RecordStoreOptions {
  // Made if it isn't there.
  std::string folder;
  // The whole state as one record, the one being appended included. It starts
  // each new file, so that a restart reads one file of bounded length.
  std::function<std::string()> snapshot;
  // A file longer than this, and than eight times its first record, is
  // followed by a new one.
  uint64_t max_file_bytes = 1 << 20;
  // For tests: called before each sync; true makes it fail.
  std::function<bool()> sync_fails;
};

// Counted since Open().
struct RecordStoreStats {
  uint64_t appends = 0;
  uint64_t syncs = 0;
  uint64_t bytes_written = 0;
  uint64_t files_created = 0;
  // By Open().
  uint64_t records_read = 0;
  uint64_t torn_bytes_truncated = 0;
};

// Guards against four failures:
//  - a crash in the middle of a write: the torn tail is cut. It was never
//    synced, so nothing was answered on the strength of it;
//  - damage to what had been synced: Open() refuses. To start from an older
//    record would be to forget a vote that was answered;
//  - a record that a crashed process wrote but never synced and that is still
//    readable: Open() syncs before it hands anything out;
//  - a failed sync: the pages may be dropped and a second sync may claim
//    success, so every later Append() fails too.
class RecordStore {
 public:
  // Locks the folder and hands every record to `replay`, oldest first; nothing
  // is handed out on an error. A new folder has no records.
  static tl::expected<std::unique_ptr<RecordStore>, StorageError> Open(
      RecordStoreOptions options,
      const std::function<void(std::string_view record)>& replay);

  ~RecordStore();
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Writes the record and syncs it; blocks the thread. The first record of a
  // new folder must hold the whole state, as a snapshot does.
  tl::expected<void, StorageError> Append(std::string_view record);

  const RecordStoreStats& stats() const { return this->counters; }

 private:
  explicit RecordStore(RecordStoreOptions options);

  using Outcome = tl::expected<void, StorageError>;
  Outcome LockFolder();
  Outcome ReplayNewestFile(const std::function<void(std::string_view)>& replay);
  Outcome AppendToFile(std::string_view record);
  Outcome StartFile(std::string_view first_record);
  Outcome WriteAll(int file, std::string_view bytes);
  Outcome Sync(int file, const std::string& path);
  Outcome SyncFolder(const std::string& folder);
  Outcome Fail(std::string path, std::string_view call);
  std::string FilePath(uint64_t number) const;

  RecordStoreOptions options;
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
