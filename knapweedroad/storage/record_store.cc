#include "knapweedroad/storage/record_store.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "knapweedroad/storage/file_system.h"
#include "knapweedroad/storage/record_format.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kLockSuffix = ".lock";
// Older programs lock the folder by it.
constexpr std::string_view kStateName = "state";
constexpr const char* kStateLockName = "/lock";
constexpr size_t kReadBytes = 1 << 16;
constexpr uint64_t kMinFileToSnapshotRatio = 8;
constexpr std::string_view kCorruptionRemedy =
    "; synced data is damaged. Do not delete single files: move the whole data "
    "folder away and replace this replica with a new one (its host joins under "
    "the same name with an empty data folder)";

StorageError IoError(std::string path, std::string_view call) {
  return {.kind = StorageErrorKind::kIo,
          .path = std::move(path),
          .detail = std::string(call) + ": " + std::strerror(errno)};
}

StorageError CorruptionError(std::string path, uint64_t offset) {
  return {.kind = StorageErrorKind::kCorrupted,
          .path = std::move(path),
          .offset = offset,
          .detail = "corrupted record at byte " + std::to_string(offset) +
                    std::string(kCorruptionRemedy)};
}

}  // namespace

RecordStore::RecordStore(RecordStoreOptions options)
    : options(std::move(options)),
      files(this->options.files == nullptr ? &SystemFiles()
                                           : this->options.files) {}

RecordStore::~RecordStore() {
  if (this->file >= 0) {
    this->files->Close(this->file);
  }
  if (this->lock_file >= 0) {
    this->files->Close(this->lock_file);
  }
}

tl::expected<std::unique_ptr<RecordStore>, StorageError> RecordStore::Open(
    RecordStoreOptions options,
    const std::function<void(std::string_view record)>& replay) {
  std::unique_ptr<RecordStore> store(new RecordStore(std::move(options)));
  if (auto locked = store->LockFolder(); !locked.has_value()) {
    return tl::unexpected(locked.error());
  }
  if (auto read = store->ReplayNewestFile(replay); !read.has_value()) {
    return tl::unexpected(read.error());
  }
  return store;
}

bool RecordStore::IsFolder(const std::string& path) const {
  const int file = this->files->Open(path, O_RDONLY | O_DIRECTORY);
  if (file >= 0) {
    this->files->Close(file);
  }
  return file >= 0;
}

RecordStore::Outcome RecordStore::LockFolder() {
  const std::string& folder = this->options.folder;
  for (size_t end = 0; end != std::string::npos;) {
    end = folder.find('/', end + 1);
    const std::string parent = folder.substr(0, end);
    // Folders that exist may lie where this process may create none.
    if (!this->IsFolder(parent) && this->files->CreateFolder(parent) != 0 &&
        errno != EEXIST) {
      return tl::unexpected(IoError(parent, "mkdir"));
    }
  }
  const std::string path =
      this->options.name == kStateName
          ? folder + kStateLockName
          : folder + "/" + this->options.name + std::string(kLockSuffix);
  this->lock_file = this->files->Open(path, O_RDWR | O_CREAT);
  if (this->lock_file < 0) {
    return tl::unexpected(IoError(path, "open"));
  }
  if (this->files->Lock(this->lock_file) != 0) {
    return tl::unexpected(
        StorageError{.kind = StorageErrorKind::kLocked,
                     .path = folder,
                     .detail = "another process uses this data folder; stop "
                               "it first, because two processes would vote "
                               "under the same name"});
  }
  return {};
}

RecordStore::Outcome RecordStore::ReplayNewestFile(
    const std::function<void(std::string_view)>& replay) {
  const auto numbers = this->ListFiles();
  if (!numbers.has_value()) {
    return tl::unexpected(numbers.error());
  }
  if (numbers->empty()) {
    return this->SyncParentFolders();
  }
  this->file_number = numbers->back();
  const std::string path = this->FilePath(this->file_number);
  this->file = this->files->Open(path, O_RDWR);
  if (this->file < 0) {
    return tl::unexpected(IoError(path, "open"));
  }
  const auto bytes = this->ReadFile(path);
  if (!bytes.has_value()) {
    return tl::unexpected(bytes.error());
  }
  const ParsedRecords parsed = ParseRecords(*bytes);
  // A file gets its final name only after its first record has been synced, so
  // a file without records is corrupted.
  if (parsed.corruption_offset.has_value() || parsed.records.empty()) {
    return tl::unexpected(
        CorruptionError(path, parsed.corruption_offset.value_or(0)));
  }
  this->counters.torn_bytes_truncated = bytes->size() - parsed.valid_bytes;
  if (auto repaired = this->RepairTail(*bytes, parsed); !repaired.has_value()) {
    return repaired;
  }
  for (const uint64_t number : *numbers) {
    if (number != this->file_number) {
      this->files->Remove(this->FilePath(number));
    }
  }
  this->first_record_bytes = parsed.records.front().payload.size();
  this->counters.records_read = parsed.records.size();
  for (const ParsedRecord& record : parsed.records) {
    replay(record.payload);
  }
  return {};
}

tl::expected<std::vector<uint64_t>, StorageError> RecordStore::ListFiles() {
  const std::string& folder = this->options.folder;
  std::vector<std::string> names;
  if (this->files->List(folder, names) != 0) {
    return tl::unexpected(IoError(folder, "readdir"));
  }
  std::vector<uint64_t> numbers;
  for (const std::string& name : names) {
    if (const auto number = this->FileNumber(name); number.has_value()) {
      numbers.push_back(*number);
    } else if (name.starts_with(this->options.name + "-") &&
               name.ends_with(kTemporarySuffix)) {
      // It was not complete, as it had not been renamed.
      this->files->Remove(std::string(folder).append("/").append(name));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

tl::expected<std::string, StorageError> RecordStore::ReadFile(
    const std::string& path) {
  std::string bytes;
  while (true) {
    const size_t size = bytes.size();
    bytes.resize(size + kReadBytes);
    const ssize_t count =
        this->files->Read(this->file, std::span(bytes).subspan(size), size);
    bytes.resize(size + static_cast<size_t>(std::max<ssize_t>(count, 0)));
    if (count < 0 && errno != EINTR) {
      return tl::unexpected(IoError(path, "read"));
    }
    if (count == 0) {
      return bytes;
    }
  }
}

// Cuts the torn tail off and writes what may not have been synced once more,
// in place, so that it needs no room on a full disk.
RecordStore::Outcome RecordStore::RepairTail(std::string_view bytes,
                                             const ParsedRecords& parsed) {
  const std::string path = this->FilePath(this->file_number);
  if (bytes.size() > parsed.valid_bytes &&
      this->files->Truncate(this->file, parsed.valid_bytes) != 0) {
    return this->Fail(path, "ftruncate");
  }
  // A sync alone is not enough: after a failed one, the kernel no longer writes
  // the pages that it still shows.
  this->file_bytes = parsed.unproven_offset;
  const Outcome written = this->WriteAll(this->file, parsed.unproven);
  // A full disk that refuses to write the last marker again doesn't keep proven
  // records from being replayed: the failed write makes the next Append() fail.
  if (!written.has_value() && !parsed.ends_with_marker) {
    return tl::unexpected(written.error());
  }
  if (auto synced = this->Sync(this->file, path); !synced.has_value()) {
    return synced;
  }
  const uint64_t sequence = parsed.records.back().sequence;
  this->next_sequence = sequence + 1;
  if (!parsed.ends_with_marker) {
    // The same holds for a marker that there is no room for.
    (void)this->WriteAll(this->file, EncodeSyncMarker(sequence));
  }
  return this->SyncFolder(this->options.folder);
}

RecordStore::Outcome RecordStore::Append(std::string_view record) {
  if (this->failed) {
    return tl::unexpected(
        StorageError{.kind = StorageErrorKind::kFailed,
                     .path = this->options.folder,
                     .detail = "an earlier write or sync failed; restart the "
                               "process once the disk works again"});
  }
  ++this->counters.appends;
  if (this->file < 0) {
    return this->StartFile(record);
  }
  const uint64_t max_bytes =
      std::max(this->options.max_file_bytes,
               kMinFileToSnapshotRatio * this->first_record_bytes);
  if (this->file_bytes > max_bytes) {
    return this->StartFile(this->options.snapshot());
  }
  return this->AppendToFile(record);
}

RecordStore::Outcome RecordStore::AppendToFile(std::string_view record) {
  const std::string path = this->FilePath(this->file_number);
  const std::string bytes = EncodeRecord(this->next_sequence, record);
  if (auto written = this->WriteAll(this->file, bytes); !written.has_value()) {
    return written;
  }
  if (auto synced = this->Sync(this->file, path); !synced.has_value()) {
    return synced;
  }
  const std::string marker = EncodeSyncMarker(this->next_sequence);
  if (auto written = this->WriteAll(this->file, marker); !written.has_value()) {
    return written;
  }
  ++this->next_sequence;
  return {};
}

RecordStore::Outcome RecordStore::StartFile(std::string_view first_record) {
  const std::string bytes = EncodeRecord(this->next_sequence, first_record) +
                            EncodeSyncMarker(this->next_sequence);
  if (auto replaced = this->ReplaceFile(bytes); !replaced.has_value()) {
    return replaced;
  }
  ++this->next_sequence;
  this->first_record_bytes = first_record.size();
  return {};
}

// Writes and syncs the bytes as the next file before it removes this one.
RecordStore::Outcome RecordStore::ReplaceFile(std::string_view bytes) {
  const std::string path = this->FilePath(this->file_number + 1);
  const std::string temporary = path + std::string(kTemporarySuffix);
  const int next = this->files->Open(temporary, O_RDWR | O_CREAT | O_TRUNC);
  if (next < 0) {
    return this->Fail(temporary, "open");
  }
  const int previous = std::exchange(this->file, next);
  if (previous >= 0) {
    this->files->Close(previous);
  }
  this->file_bytes = 0;
  if (auto written = this->WriteAll(next, bytes); !written.has_value()) {
    return written;
  }
  if (auto synced = this->Sync(next, temporary); !synced.has_value()) {
    return synced;
  }
  if (this->files->Rename(temporary, path) != 0) {
    return this->Fail(path, "rename");
  }
  if (auto synced = this->SyncFolder(this->options.folder);
      !synced.has_value()) {
    return synced;
  }
  if (previous >= 0) {
    this->files->Remove(this->FilePath(this->file_number));
  }
  ++this->file_number;
  ++this->counters.files_created;
  return {};
}

RecordStore::Outcome RecordStore::WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = this->files->Write(file, bytes, this->file_bytes);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return this->Fail(this->options.folder, "write");
    }
    bytes.remove_prefix(static_cast<size_t>(written));
    this->file_bytes += static_cast<uint64_t>(written);
    this->counters.bytes_written += static_cast<uint64_t>(written);
  }
  return {};
}

RecordStore::Outcome RecordStore::Sync(int file, const std::string& path) {
  ++this->counters.syncs;
  if (this->options.sync_fails && this->options.sync_fails()) {
    errno = EIO;
    return this->Fail(path, "fsync");
  }
  if (this->files->Sync(file) != 0) {
    return this->Fail(path, "fsync");
  }
  return {};
}

RecordStore::Outcome RecordStore::SyncFolder(const std::string& folder) {
  const int folder_file = this->files->Open(folder, O_RDONLY | O_DIRECTORY);
  if (folder_file < 0) {
    return this->Fail(folder, "open");
  }
  auto synced = this->Sync(folder_file, folder);
  this->files->Close(folder_file);
  return synced;
}

// A new folder may be lost with all that was synced inside it, unless each
// folder above it has been synced. An earlier process may have created them.
RecordStore::Outcome RecordStore::SyncParentFolders() {
  std::filesystem::path folder = this->options.folder;
  while (folder.has_relative_path()) {
    folder = folder.parent_path();
    const std::string path = folder.empty() ? "." : folder.string();
    const int file = this->files->Open(path, O_RDONLY | O_DIRECTORY);
    if (file < 0) {
      // This process has not created a folder that it may not open.
      continue;
    }
    ++this->counters.syncs;
    // Other errors tell that folders can't be synced there.
    const bool has_failed = this->files->Sync(file) != 0 && errno == EIO;
    this->files->Close(file);
    if (has_failed) {
      return this->Fail(path, "fsync");
    }
  }
  return {};
}

RecordStore::Outcome RecordStore::Fail(std::string path,
                                       std::string_view call) {
  this->failed = true;
  return tl::unexpected(IoError(std::move(path), call));
}

// Returns the number of a file of records, or nothing for another name.
std::optional<uint64_t> RecordStore::FileNumber(
    std::string_view file_name) const {
  const std::string prefix = this->options.name + "-";
  if (!file_name.starts_with(prefix)) {
    return std::nullopt;
  }
  file_name.remove_prefix(prefix.size());
  uint64_t number = 0;
  const char* end = file_name.data() + file_name.size();
  const auto [parsed, error] = std::from_chars(file_name.data(), end, number);
  return error == std::errc() && parsed == end ? std::optional(number)
                                               : std::nullopt;
}

std::string RecordStore::FilePath(uint64_t number) const {
  return this->options.folder + "/" + this->options.name + "-" +
         std::to_string(number);
}

}  // namespace knapweedroad
