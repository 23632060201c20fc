#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/storage/disk_stand_in.h"
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

}  // namespace
}  // namespace knapweedroad
