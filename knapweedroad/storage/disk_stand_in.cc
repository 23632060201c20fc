#include "knapweedroad/storage/disk_stand_in.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace knapweedroad {
namespace {

std::string FolderOf(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == 0 ? "/" : path.substr(0, slash);
}

int Error(int number) {
  errno = number;
  return -1;
}

}  // namespace

void DiskStandIn::StopAtCall(uint64_t n, bool loses_power) {
  this->calls_left = n;
  this->stop_loses_power = loses_power;
}

void DiskStandIn::Kill() {
  this->open_files.clear();
  this->calls_left = 0;
  this->stopped = false;
  this->lost_power = false;
}

void DiskStandIn::LosePower() {
  this->Kill();
  for (const NameChange& change : this->unsynced_names) {
    if (this->Draw()) {
      Apply(change, this->durable_names);
    } else {
      ++this->lost_names;
    }
  }
  this->unsynced_names.clear();
  // A name is lost with the folder that holds it.
  std::erase_if(this->durable_names, [this](const auto& name) {
    const std::string folder = FolderOf(name.first);
    return folder != "/" && !this->durable_names.contains(folder);
  });
  this->cached_names = this->durable_names;
  for (const auto& [path, inode] : this->cached_names) {
    for (const Change& change : inode->unsynced) {
      this->ApplyPart(change, inode->durable);
    }
    inode->unsynced.clear();
    inode->cached = inode->durable;
  }
}

std::string DiskStandIn::Newest(const std::string& prefix) const {
  std::string newest;
  for (const auto& [path, inode] : this->cached_names) {
    if (path.starts_with(prefix) && !path.ends_with(".tmp") &&
        std::pair(path.size(), path) > std::pair(newest.size(), newest)) {
      newest = path;
    }
  }
  return newest;
}

std::string DiskStandIn::Content(const std::string& path) const {
  return this->cached_names.at(path)->cached;
}

void DiskStandIn::Overwrite(const std::string& path, const std::string& bytes) {
  Inode& inode = *this->cached_names.at(path);
  inode.cached = bytes;
  inode.durable = bytes;
  inode.unsynced.clear();
}

int DiskStandIn::Open(const std::string& path, int flags) {
  if (this->stopped) {
    return Error(EIO);
  }
  auto name = this->cached_names.find(path);
  if (path == "/") {
    auto root = std::make_shared<Inode>(Inode{.is_folder = true});
    this->open_files[this->next_file] = {.path = path, .inode = root};
    return this->next_file++;
  }
  if (name == this->cached_names.end()) {
    if ((flags & O_CREAT) == 0) {
      return Error(ENOENT);
    }
    if (!this->Enter()) {
      return Error(EIO);
    }
    this->ChangeName({.to = path, .inode = std::make_shared<Inode>()});
    name = this->cached_names.find(path);
  }
  this->open_files[this->next_file] = {.path = path, .inode = name->second};
  const int file = this->next_file++;
  if ((flags & O_TRUNC) != 0 && !name->second->cached.empty() &&
      this->Truncate(file, 0) != 0) {
    return -1;
  }
  return this->Leave(file);
}

void DiskStandIn::Close(int file) {
  this->open_files.erase(file);
}

int DiskStandIn::Lock(int file) {
  return this->open_files.contains(file) ? this->Leave(0) : Error(EBADF);
}

ssize_t DiskStandIn::Read(int file, std::span<char> bytes, uint64_t offset) {
  if (this->stopped || (this->reads_fail && offset > 0)) {
    return Error(EIO);
  }
  const std::string& content = this->open_files.at(file).inode->cached;
  const size_t start = std::min<size_t>(offset, content.size());
  return static_cast<ssize_t>(content.copy(bytes.data(), bytes.size(), start));
}

ssize_t DiskStandIn::Write(int file, std::string_view bytes, uint64_t offset) {
  if (!this->Enter()) {
    return Error(EIO);
  }
  Inode& inode = *this->open_files.at(file).inode;
  const uint64_t length = inode.cached.size();
  if (this->is_full && offset + bytes.size() > length) {
    // What is left of the last block still holds a part of the write.
    const uint64_t room = offset < length ? length - offset : 0;
    const uint64_t part = room + this->DrawUpTo(bytes.size() - room - 1);
    bytes = bytes.substr(0, this->Draw() ? part : room);
    if (bytes.empty()) {
      return Error(ENOSPC);
    }
  }
  const Change change = {.offset = offset, .bytes = std::string(bytes)};
  Apply(change, inode.cached);
  inode.unsynced.push_back(change);
  return this->Leave(static_cast<int>(bytes.size()));
}

int DiskStandIn::Truncate(int file, uint64_t length) {
  if (!this->Enter()) {
    return Error(EIO);
  }
  Inode& inode = *this->open_files.at(file).inode;
  const Change change = {.is_resize = true, .offset = length};
  Apply(change, inode.cached);
  inode.unsynced.push_back(change);
  return this->Leave(0);
}

int DiskStandIn::Sync(int file) {
  if (!this->Enter()) {
    return Error(EIO);
  }
  const OpenFile& opened = this->open_files.at(file);
  if (std::exchange(this->next_sync_fails, false)) {
    this->FailSync(*opened.inode);
    return Error(EIO);
  }
  if (this->stopped && this->stop_loses_power) {
    return Error(EIO);
  }
  for (const Change& change : opened.inode->unsynced) {
    Apply(change, opened.inode->durable);
  }
  opened.inode->unsynced.clear();
  if (opened.inode->is_folder) {
    std::erase_if(this->unsynced_names, [&](const NameChange& change) {
      const std::string& path = change.to.empty() ? change.from : change.to;
      const bool is_covered = FolderOf(path) == opened.path;
      if (is_covered) {
        Apply(change, this->durable_names);
      }
      return is_covered;
    });
  }
  return this->Leave(0);
}

int DiskStandIn::Rename(const std::string& from, const std::string& to) {
  if (!this->Enter()) {
    return Error(EIO);
  }
  this->ChangeName(
      {.from = from, .to = to, .inode = this->cached_names.at(from)});
  return this->Leave(0);
}

int DiskStandIn::Remove(const std::string& path) {
  if (!this->cached_names.contains(path)) {
    return Error(ENOENT);
  }
  if (!this->Enter()) {
    return Error(EIO);
  }
  this->ChangeName({.from = path});
  return this->Leave(0);
}

int DiskStandIn::CreateFolder(const std::string& path) {
  if (this->cached_names.contains(path)) {
    return Error(EEXIST);
  }
  if (!this->Enter()) {
    return Error(EIO);
  }
  this->ChangeName(
      {.to = path, .inode = std::make_shared<Inode>(Inode{.is_folder = true})});
  return this->Leave(0);
}

int DiskStandIn::List(const std::string& folder,
                      std::vector<std::string>& names) {
  if (this->lists_fail) {
    return Error(EIO);
  }
  for (const auto& [path, inode] : this->cached_names) {
    if (FolderOf(path) == folder) {
      names.push_back(path.substr(folder.size() + 1));
    }
  }
  return this->Leave(0);
}

void DiskStandIn::Apply(const Change& change, std::string& content) {
  if (change.is_resize) {
    content.resize(change.offset);
    return;
  }
  content.resize(
      std::max<size_t>(content.size(), change.offset + change.bytes.size()));
  content.replace(change.offset, change.bytes.size(), change.bytes);
}

void DiskStandIn::Apply(const NameChange& change, Names& names) {
  if (!change.from.empty()) {
    names.erase(change.from);
  }
  if (!change.to.empty()) {
    names[change.to] = change.inode;
  }
}

void DiskStandIn::ApplyPart(const Change& change, std::string& content) {
  const uint64_t size = change.bytes.size();
  const uint64_t cut = this->DrawUpTo(size);
  Change part = change;
  switch (this->DrawUpTo(4)) {
    case 0:
      Apply(change, content);
      return;
    case 1:
      break;
    case 2:
      part.bytes.resize(cut);
      Apply(part, content);
      break;
    case 3:
      // The end without the start; a hole reads as zeros.
      part.offset += cut;
      part.bytes.erase(0, cut);
      Apply(part, content);
      break;
    default:
      // The length without the content.
      content.resize(std::max<size_t>(content.size(), change.offset + cut));
      break;
  }
  ++this->lost_writes;
}

void DiskStandIn::ChangeName(NameChange change) {
  Apply(change, this->cached_names);
  this->unsynced_names.push_back(std::move(change));
}

void DiskStandIn::FailSync(Inode& inode) {
  this->lost_writes +=
      std::erase_if(inode.unsynced, [this](const Change& change) {
        return !change.is_resize && this->Draw();
      });
  if (this->Draw()) {
    // The pages that were dropped are read from the disk again.
    inode.cached = inode.durable;
    for (const Change& change : inode.unsynced) {
      Apply(change, inode.cached);
    }
  }
}

bool DiskStandIn::Enter() {
  if (this->stopped) {
    return false;
  }
  if (this->calls_left > 0 && --this->calls_left == 0) {
    this->stopped = true;
    this->lost_power = this->stop_loses_power;
  }
  return true;
}

int DiskStandIn::Leave(int result) const {
  return this->stopped ? Error(EIO) : result;
}

}  // namespace knapweedroad
