#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/storage/disk_stand_in.h"
#include "knapweedroad/storage/record_format.h"
#include "knapweedroad/storage/record_store.h"

namespace knapweedroad {
namespace {

constexpr uint64_t kHistories = 4000;
constexpr int kSteps = 60;
constexpr const char* kFolder = "/data/replica";

// A seeded history of one store on a disk with faults, compared with the
// records that the disk has to hold. Each record is a whole state.
class StoreHistory {
 public:
  explicit StoreHistory(uint64_t seed)
      : seed(seed), random(seed), disk(seed + 1) {}

  void Run() {
    this->Recover();
    for (int step = 0; step < kSteps; ++step) {
      this->Step();
      if (this->store == nullptr) {
        this->Recover();
      }
    }
    this->disk.is_full = false;
    this->Restart(/*loses_power=*/true);
    this->CheckDamageIsRefused();
  }

  const DiskStandIn& stood_in() const { return this->disk; }

 private:
  uint64_t Draw(uint64_t n) { return this->random() % n; }

  void Step() {
    switch (this->Draw(16)) {
      case 0:
        this->Restart(/*loses_power=*/false);
        break;
      case 1:
        this->Restart(/*loses_power=*/true);
        break;
      case 2:
      case 3:
        this->disk.StopAtCall(1 + this->Draw(6), this->Draw(4) != 0);
        break;
      case 4:
        this->disk.next_sync_fails = true;
        break;
      case 5:
        this->disk.is_full = !this->disk.is_full;
        break;
      default:
        this->Append();
    }
  }

  void Append() {
    this->state = this->NextPayload();
    this->unknown = this->state;
    if (this->store->Append(this->state).has_value()) {
      this->records.push_back(*std::exchange(this->unknown, std::nullopt));
    } else {
      this->store.reset();
    }
  }

  std::string NextPayload() {
    std::string payload = std::to_string(++this->appended) + ":";
    if (this->Draw(3) == 0) {
      payload.append(this->Draw(300), 'x');
    }
    if (this->Draw(4) == 0) {
      // An operator's text may hold a piece of a data file.
      const uint64_t sequence = this->appended + this->Draw(4);
      payload += EncodeRecord(sequence, "old") + EncodeSyncMarker(sequence);
      payload.append(this->Draw(100), 'y');
    }
    return payload;
  }

  void Restart(bool loses_power) {
    this->store.reset();
    if (loses_power) {
      this->disk.LosePower();
    } else {
      this->disk.Kill();
    }
    this->Recover();
  }

  // Opens the store, perhaps after further faults in the attempts to do so.
  void Recover() {
    for (int faults = static_cast<int>(this->Draw(4)); faults > 0; --faults) {
      this->EndProcess();
      if (this->Draw(3) == 0) {
        this->disk.next_sync_fails = true;
      } else {
        this->disk.StopAtCall(1 + this->Draw(8), this->Draw(4) != 0);
      }
      this->Open();
    }
    this->EndProcess();
    this->disk.next_sync_fails = false;
    const std::string error = this->Open();
    cr_assert(error.empty(), "seed %lu: %s", this->seed, error.c_str());
  }

  void EndProcess() {
    this->store.reset();
    if (this->disk.has_lost_power()) {
      this->disk.LosePower();
    } else {
      this->disk.Kill();
    }
  }

  std::string Open() {
    std::vector<std::string> replayed;
    auto opened = RecordStore::Open(
        {.folder = kFolder,
         .snapshot =
             [this] {
               this->snapshots.insert(this->state);
               return this->state;
             },
         .max_file_bytes = 700,
         .files = &this->disk},
        [&](std::string_view record) { replayed.emplace_back(record); });
    if (!opened.has_value()) {
      return opened.error().detail;
    }
    this->store = *std::move(opened);
    this->CheckReplayed(std::move(replayed));
    return "";
  }

  void CheckReplayed(std::vector<std::string> replayed) {
    if (!replayed.empty() && replayed.back() == this->unknown) {
      this->records.push_back(*this->unknown);
    }
    this->unknown.reset();
    cr_assert(replayed.size() <= this->records.size(), "seed %lu", this->seed);
    cr_assert(replayed.empty() == this->records.empty(), "seed %lu",
              this->seed);
    cr_assert(
        std::equal(replayed.rbegin(), replayed.rend(), this->records.rbegin()),
        "seed %lu", this->seed);
    cr_assert(replayed.empty() || replayed.size() == this->records.size() ||
                  this->snapshots.contains(replayed.front()),
              "seed %lu", this->seed);
  }

  // Changes one byte, or zeroes a range, before the last marker.
  void CheckDamageIsRefused() {
    this->store.reset();
    const std::string path =
        this->disk.Newest(std::string(kFolder) + "/state-");
    if (path.empty()) {
      return;
    }
    const std::string bytes = this->disk.Content(path);
    cr_assert(bytes.size() > kRecordHeaderBytes, "seed %lu", this->seed);
    const size_t proven = bytes.size() - kRecordHeaderBytes;
    std::string damaged = bytes;
    const size_t start = this->Draw(proven);
    if (this->Draw(2) == 0) {
      damaged[start] = static_cast<char>(damaged[start] ^ (1 + Draw(255)));
    } else {
      const size_t end = start + 1 + this->Draw(proven - start);
      std::fill(damaged.begin() + static_cast<long>(start),
                damaged.begin() + static_cast<long>(end), '\0');
    }
    if (damaged == bytes) {
      return;
    }
    const auto first = static_cast<uint64_t>(
        std::mismatch(bytes.begin(), bytes.end(), damaged.begin()).first -
        bytes.begin());
    this->disk.Overwrite(path, damaged);
    const auto opened = RecordStore::Open(
        {.folder = kFolder, .files = &this->disk}, [](std::string_view) {});
    cr_assert(!opened.has_value(), "seed %lu, byte %lu", this->seed, first);
    const StorageError& error = opened.error();
    cr_assert(error.kind == StorageErrorKind::kCorrupted, "seed %lu",
              this->seed);
    cr_assert(error.offset == EntryStart(bytes, first), "seed %lu", this->seed);
    cr_assert(error.detail.find("replace this replica") != std::string::npos,
              "seed %lu", this->seed);
  }

  // Returns the offset of the record or marker that holds this byte.
  static uint64_t EntryStart(const std::string& bytes, uint64_t byte) {
    uint64_t start = 0;
    for (const ParsedRecord& record : ParseRecords(bytes).records) {
      const uint64_t marker =
          start + EncodeRecord(record.sequence, record.payload).size();
      if (byte < marker) {
        return start;
      }
      start = marker + kRecordHeaderBytes;
      if (byte < start) {
        return marker;
      }
    }
    return start;
  }

  uint64_t seed;
  std::mt19937_64 random;
  DiskStandIn disk;
  std::unique_ptr<RecordStore> store;
  uint64_t appended = 0;
  std::string state;
  // What has been acknowledged or replayed, and what may be on the disk.
  std::vector<std::string> records;
  std::optional<std::string> unknown;
  std::set<std::string> snapshots;
};

// A loss of power, a kill, a failed sync or a full disk leaves files from which
// a replica does not start, or starts without a record that it has acknowledged
// or replayed; or damage to synced records is taken for such a loss.
Test(RecordStorePowerLoss, SeededHistoriesKeepWhatWasAcknowledged) {
  uint64_t writes_lost = 0;
  uint64_t names_lost = 0;
  for (uint64_t seed = 1; seed <= kHistories; ++seed) {
    StoreHistory history(seed);
    history.Run();
    writes_lost += history.stood_in().writes_lost();
    names_lost += history.stood_in().names_lost();
  }
  cr_assert(writes_lost > kHistories);
  cr_assert(names_lost > kHistories);
}

// Opens the store on the disk; returns the kind of error, if there is one, and
// adds what is replayed.
std::optional<StorageErrorKind> OpenAndAppend(DiskStandIn& disk,
                                              std::string_view record,
                                              std::vector<std::string>& read) {
  auto opened = RecordStore::Open(
      {.folder = kFolder, .files = &disk},
      [&](std::string_view replayed) { read.emplace_back(replayed); });
  if (!opened.has_value()) {
    return opened.error().kind;
  }
  const auto appended = (*opened)->Append(record);
  return appended.has_value() ? std::nullopt
                              : std::optional(appended.error().kind);
}

// The disk fails to read a part of the file, which is taken for its end, or the
// names in the folder, which is taken for a new one: the replica would start
// without its last votes, or as a new member.
Test(RecordStorePowerLoss, OpenFailsWhenTheDiskCannotBeRead) {
  DiskStandIn disk(1);
  std::vector<std::string> read;
  cr_assert(!OpenAndAppend(disk, "one", read).has_value());
  for (bool* fails : {&disk.reads_fail, &disk.lists_fail}) {
    disk.Kill();
    *fails = true;
    cr_assert(OpenAndAppend(disk, "lost", read) == StorageErrorKind::kIo);
    *fails = false;
    cr_assert(read.empty());
  }
  disk.Kill();
  cr_assert(!OpenAndAppend(disk, "two", read).has_value());
  cr_assert(read == std::vector<std::string>{"one"});
}

// Power is lost right after the first record of a new folder was acknowledged,
// and the folder is gone with it: the replica would come back as a new member.
Test(RecordStorePowerLoss, KeepsTheFirstRecordOfANewFolder) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    DiskStandIn disk(seed);
    std::vector<std::string> read;
    cr_assert(!OpenAndAppend(disk, "one", read).has_value());
    disk.LosePower();
    cr_assert(!OpenAndAppend(disk, "two", read).has_value());
    cr_assert(read == std::vector<std::string>{"one"}, "seed %lu", seed);
  }
}

// An operator's text holds a piece of a data file, power is lost while it is
// written, and the piece is taken for a proof that the torn record had been
// synced: the replica would refuse to start for good.
Test(RecordStorePowerLoss, OpensAfterATornTextThatHoldsHeaders) {
  const std::string text = "text " + EncodeRecord(9, "") + EncodeSyncMarker(9);
  const std::vector<std::string> lost = {"one"};
  const std::vector<std::string> kept = {"one", text};
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    DiskStandIn disk(seed);
    std::vector<std::string> read;
    cr_assert(!OpenAndAppend(disk, "one", read).has_value());
    disk.Kill();
    disk.StopAtCall(1 + seed % 5, /*loses_power=*/true);
    cr_assert(OpenAndAppend(disk, text, read).has_value());
    disk.LosePower();
    read.clear();
    cr_assert(!OpenAndAppend(disk, "two", read).has_value(), "seed %lu", seed);
    cr_assert(read == lost || read == kept, "seed %lu", seed);
  }
}

// A full disk keeps a replica that lost power from starting, so that it does
// not even answer reads.
Test(RecordStorePowerLoss, OpenNeedsNoRoomOnTheDisk) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    DiskStandIn disk(seed);
    std::vector<std::string> read;
    cr_assert(!OpenAndAppend(disk, "one", read).has_value());
    disk.Kill();
    disk.StopAtCall(5, /*loses_power=*/true);
    (void)OpenAndAppend(disk, "two", read);
    disk.LosePower();
    disk.is_full = true;
    read.clear();
    cr_assert(OpenAndAppend(disk, "three", read) != std::nullopt);
    cr_assert(!read.empty(), "seed %lu", seed);
  }
}

}  // namespace
}  // namespace knapweedroad
