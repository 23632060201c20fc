// A disk in memory, for tests, which loses power.
//
//   DiskStandIn disk(seed);
//   disk.StopAtCall(7, /*loses_power=*/true);
//   ...  // The seventh call from now is the last one; all later ones fail.
//   disk.LosePower();
//
// After a loss of power, a file holds what its syncs covered, and of every
// other write and change of length the whole, a part or nothing. Names that
// were created, renamed or removed since the sync of their folder are kept or
// lost, each by itself. A failed sync may drop any of the writes that it was to
// cover: they may stay readable, and the next sync succeeds without them. A
// file's length and the names stay to be synced, as file systems journal them.

#ifndef KNAPWEEDROAD_STORAGE_DISK_STAND_IN_H_
#define KNAPWEEDROAD_STORAGE_DISK_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/storage/file_system.h"

namespace knapweedroad {

class DiskStandIn : public FileSystem {
 public:
  explicit DiskStandIn(uint64_t seed) : random(seed) {}

  // Faults. A full disk refuses writes that make a file longer.
  bool is_full = false;
  bool next_sync_fails = false;
  // Reads behind the start of a file fail, or reads of a folder's names.
  bool reads_fail = false;
  bool lists_fail = false;
  // The n-th changing call or sync from now stops the process, halfway if it
  // loses power.
  void StopAtCall(uint64_t n, bool loses_power);
  bool is_stopped() const { return this->stopped; }
  bool has_lost_power() const { return this->lost_power; }

  // Ends the process: its files are closed. What it wrote stays readable.
  void Kill();
  void LosePower();

  // Returns the path of the newest file of the folder with this prefix.
  std::string Newest(const std::string& prefix) const;
  std::string Content(const std::string& path) const;
  // Replaces the content, on the disk too.
  void Overwrite(const std::string& path, const std::string& bytes);
  // Writes and names that losses of power and failed syncs took, in whole or
  // part.
  uint64_t writes_lost() const { return this->lost_writes; }
  uint64_t names_lost() const { return this->lost_names; }

  int Open(const std::string& path, int flags) override;
  void Close(int file) override;
  int Lock(int file) override;
  ssize_t Read(int file, std::span<char> bytes, uint64_t offset) override;
  ssize_t Write(int file, std::string_view bytes, uint64_t offset) override;
  int Truncate(int file, uint64_t length) override;
  int Sync(int file) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Remove(const std::string& path) override;
  int CreateFolder(const std::string& path) override;
  int List(const std::string& folder, std::vector<std::string>& names) override;

 private:
  struct Change {
    bool is_resize = false;
    uint64_t offset = 0;
    std::string bytes;
  };
  struct Inode {
    bool is_folder = false;
    std::string cached;
    std::string durable;
    std::vector<Change> unsynced;
  };
  using Names = std::map<std::string, std::shared_ptr<Inode>>;
  // Empty paths stand for a creation or a removal.
  struct NameChange {
    std::string from;
    std::string to;
    std::shared_ptr<Inode> inode;
  };
  struct OpenFile {
    std::string path;
    std::shared_ptr<Inode> inode;
  };

  static void Apply(const Change& change, std::string& content);
  static void Apply(const NameChange& change, Names& names);
  void ApplyPart(const Change& change, std::string& content);
  void ChangeName(NameChange change);
  void FailSync(Inode& inode);
  // Counts a call; false: the process was stopped before it. In the last call
  // the change is still made, but the caller doesn't learn of it.
  bool Enter();
  int Leave(int result) const;
  bool Draw() { return this->random() % 2 == 0; }
  uint64_t DrawUpTo(uint64_t n) { return this->random() % (n + 1); }

  std::mt19937_64 random;
  Names cached_names;
  Names durable_names;
  std::vector<NameChange> unsynced_names;
  std::map<int, OpenFile> open_files;
  int next_file = 3;
  uint64_t calls_left = 0;
  bool stop_loses_power = false;
  bool stopped = false;
  bool lost_power = false;
  uint64_t lost_writes = 0;
  uint64_t lost_names = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_DISK_STAND_IN_H_
