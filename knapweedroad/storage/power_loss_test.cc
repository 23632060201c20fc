#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/storage/disk_stand_in.h"
#include "knapweedroad/storage/record_format.h"
#include "knapweedroad/storage/record_store.h"

namespace knapweedroad {
namespace {

constexpr const char* kFolder = "/data/replica";

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

}  // namespace
}  // namespace knapweedroad
