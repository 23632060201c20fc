#include "knapweedroad/storage/record_store.h"

#include <stdlib.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

// A temporary data folder that is removed at the end of the test. The state,
// and so the snapshot, is the last record that was appended.
class TestDataFolder {
 public:
  TestDataFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
  }
  ~TestDataFolder() { std::filesystem::remove_all(this->folder); }

  auto Open(uint64_t max_file_bytes = 1 << 20) {
    this->records.clear();
    return RecordStore::Open(
        {.folder = this->folder,
         .snapshot = [this] { return this->state; },
         .max_file_bytes = max_file_bytes,
         .sync_fails = [this] { return this->sync_fails; }},
        [this](std::string_view record) {
          this->records.emplace_back(record);
        });
  }

  bool Append(RecordStore& store, std::string record) {
    this->state = std::move(record);
    return store.Append(this->state).has_value();
  }

  // Appends three records and closes the store.
  void WriteThreeRecords() {
    auto store = this->Open();
    for (const char* record : {"one", "two", "three"}) {
      cr_assert(this->Append(**store, record));
    }
  }

  std::filesystem::path NewestFile() const {
    std::filesystem::path newest;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      if (entry.path().filename().string().starts_with("state-")) {
        newest = std::max(newest, entry.path());
      }
    }
    return newest;
  }

  // Inverts all bits of the byte at `from_end` bytes before the end.
  void InvertByte(size_t from_end) const {
    std::fstream file(this->NewestFile(),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(-static_cast<std::streamoff>(from_end), std::ios::end);
    const int byte = file.peek();
    file.seekp(file.tellg());
    file.put(static_cast<char>(~byte));
  }

  void TruncateEnd(size_t bytes) const {
    const auto path = this->NewestFile();
    std::filesystem::resize_file(path,
                                 std::filesystem::file_size(path) - bytes);
  }

  std::string ReadNewestFile() const {
    std::ostringstream content;
    content << std::ifstream(this->NewestFile(), std::ios::binary).rdbuf();
    return std::move(content).str();
  }

  void WriteNewestFile(const std::string& bytes) const {
    std::ofstream(this->NewestFile(), std::ios::binary) << bytes;
  }

  std::string folder;
  std::string state;
  bool sync_fails = false;
  std::vector<std::string> records;
};

using Records = std::vector<std::string>;
constexpr size_t kSyncMarkerBytes = 40;

Test(RecordStore, ReplaysAppendedRecords) {
  TestDataFolder folder;
  folder.WriteThreeRecords();
  cr_assert(folder.Open().has_value());
  const Records expected = {"one", "two", "three"};
  cr_assert(folder.records == expected);
}

// A replica that lost power during a write does not start, or starts from an
// incomplete record. The torn record had not been synced, so no reply depended
// on it and Open() must truncate it.
Test(RecordStore, TruncatesTornTailAndContinuesAppending) {
  for (size_t cut = kSyncMarkerBytes + 1; cut < 2 * kSyncMarkerBytes + 5;
       ++cut) {
    TestDataFolder folder;
    folder.WriteThreeRecords();
    folder.TruncateEnd(cut);
    {
      auto store = folder.Open();
      cr_assert(store.has_value());
      cr_assert(folder.Append(**store, "four"));
    }
    cr_assert(folder.Open().has_value());
    const Records expected = {"one", "two", "four"};
    cr_assert(folder.records == expected, "%zu bytes truncated", cut);
  }
}

// A disk returns other bytes than were synced in the last record, and the
// corruption is taken for a torn tail. The replica would start from the
// previous record, lose a vote that it had sent, and revert an accepted change.
Test(RecordStore, OpenRejectsCorruptedRecordWithItsOffset) {
  const size_t last_record = kSyncMarkerBytes + 5 + kSyncMarkerBytes;
  for (size_t from_end = kSyncMarkerBytes + 1; from_end <= last_record;
       ++from_end) {
    TestDataFolder folder;
    folder.WriteThreeRecords();
    folder.InvertByte(from_end);
    const auto store = folder.Open();
    cr_assert(!store.has_value(), "byte %zu from the end", from_end);
    cr_assert(store.error().kind == StorageErrorKind::kCorrupted);
    cr_assert(store.error().offset == 2 * (2 * kSyncMarkerBytes + 3));
    cr_assert(folder.records.empty());
  }
}

// Power is lost after the last sync, a sync marker is missing or torn, and the
// record behind it is not: the replica would refuse to start for good. The
// marker and the record had not been synced, so each may be on the disk without
// the other.
Test(RecordStore, OpensAfterAPowerLossBetweenTwoSyncs) {
  TestDataFolder written;
  written.WriteThreeRecords();
  const std::string bytes = written.ReadNewestFile();
  const size_t marker = 3 * kSyncMarkerBytes + 6;
  const size_t record = marker + kSyncMarkerBytes;
  const size_t end = record + kSyncMarkerBytes + 5;
  for (size_t marker_bytes = 0; marker_bytes <= kSyncMarkerBytes;
       marker_bytes += kSyncMarkerBytes / 2) {
    for (size_t kept = record; kept <= end; ++kept) {
      std::string left = bytes.substr(0, kept);
      std::fill(left.begin() + static_cast<long>(marker + marker_bytes),
                left.begin() + static_cast<long>(record), '\0');
      TestDataFolder folder;
      folder.WriteThreeRecords();
      folder.WriteNewestFile(left);
      {
        auto store = folder.Open();
        cr_assert(store.has_value(), "%zu of the marker, %zu of the record",
                  marker_bytes, kept - record);
        cr_assert(folder.records.size() == (kept == end ? 3 : 2));
        cr_assert(folder.Append(**store, "four"));
      }
      cr_assert(folder.Open().has_value());
      cr_assert_str_eq(folder.records.back().c_str(), "four");
    }
  }
}

// A process is killed and started again while its disk refuses every write. The
// replica could still tell what it holds, and doesn't start.
Test(RecordStore, OpensAWholeFileOnADiskThatRefusesWrites) {
  TestDataFolder folder;
  folder.WriteThreeRecords();
  std::signal(SIGXFSZ, SIG_IGN);
  const rlimit nothing{.rlim_cur = 0, .rlim_max = 0};
  cr_assert(setrlimit(RLIMIT_FSIZE, &nothing) == 0);
  const auto store = folder.Open();
  cr_assert(store.has_value(), "%s", store.error().detail.c_str());
  cr_assert(folder.records.size() == 3);
  cr_assert(!folder.Append(**store, "four"));
}

Test(RecordStore, OpenReportsEmptyNewestFileAsCorrupted) {
  TestDataFolder folder;
  folder.WriteThreeRecords();
  std::filesystem::resize_file(folder.NewestFile(), 0);
  cr_assert(folder.Open().error().kind == StorageErrorKind::kCorrupted);
}

Test(RecordStore, OpenRejectsLockedFolder) {
  TestDataFolder folder;
  const auto first = folder.Open();
  cr_assert(first.has_value());
  cr_assert(folder.Open().error().kind == StorageErrorKind::kLocked);
}

// A failed sync is retried and succeeds although the kernel has dropped the
// unwritten pages. The replica would reply for a record that is not on the
// disk.
Test(RecordStore, RejectsAppendsAfterFailedSync) {
  TestDataFolder folder;
  auto store = folder.Open();
  cr_assert(folder.Append(**store, "one"));
  folder.sync_fails = true;
  cr_assert(!folder.Append(**store, "two"));
  folder.sync_fails = false;
  cr_assert(!folder.Append(**store, "three"));
}

Test(RecordStore, StartsNewFileWithSnapshotAfterSizeLimit) {
  TestDataFolder folder;
  {
    auto store = folder.Open(/*max_file_bytes=*/500);
    for (int i = 0; i < 100; ++i) {
      cr_assert(folder.Append(**store, "state " + std::to_string(i)));
    }
    cr_assert((*store)->stats().files_created > 5);
  }
  cr_assert(folder.Open().has_value());
  cr_assert(folder.records.size() < 10);
  cr_assert_str_eq(folder.records.back().c_str(), "state 99");
}

// Power fails while a new file replaces the old one: before the new file is
// renamed to its final name, or before the old file is removed. The last synced
// state must be read in both cases.
Test(RecordStore, RecoversFromInterruptedFileReplacement) {
  TestDataFolder folder;
  folder.WriteThreeRecords();
  const auto newest = folder.NewestFile();
  const auto temporary = folder.folder + "/state-2.tmp";
  std::ofstream(temporary) << "half";
  std::filesystem::copy_file(newest, folder.folder + "/state-0");
  cr_assert(folder.Open().has_value());
  cr_assert_str_eq(folder.records.back().c_str(), "three");
  cr_assert(!std::filesystem::exists(temporary));
  cr_assert(!std::filesystem::exists(folder.folder + "/state-0"));
}

// The cost of an accepted change depends on the number of syncs per append.
Test(RecordStore, AppendSyncsOnce) {
  TestDataFolder folder;
  auto store = folder.Open();
  cr_assert(folder.Append(**store, "one"));
  const uint64_t before = (*store)->stats().syncs;
  cr_assert(folder.Append(**store, "two"));
  cr_assert((*store)->stats().syncs == before + 1);
}

}  // namespace
}  // namespace knapweedroad
