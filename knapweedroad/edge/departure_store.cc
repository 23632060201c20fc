#include "knapweedroad/edge/departure_store.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/fiber/mutex.hpp>
#include <tl/expected.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/blocking_thread.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

constexpr const char* kName = "departures";
constexpr std::string_view kDamagedPrefix = "damaged-";
// A disk that failed is tried again this often.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);

// What callers that wait for one sync have saved.
struct Batch {
  std::vector<TargetRecord> departures;
  std::optional<bool> is_saved;
};

struct KeptDeparture {
  TargetRecord record;
  TimePoint saved;
};

void LogFailure(const StorageError& error) {
  LogLine("departures_disk_failed")
      .Add("path", error.path)
      .Add("detail", error.detail)
      .Warning();
}

// Out of the store's sight, for whoever looks into the damage.
void MoveDamagedFiles(const std::string& folder) {
  std::error_code error;
  std::vector<std::filesystem::path> damaged;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path().filename().string();
    if (name.starts_with(std::string(kName) + "-")) {
      damaged.push_back(entry.path());
    }
  }
  for (const std::filesystem::path& path : damaged) {
    const std::filesystem::path aside =
        path.parent_path() /
        (std::string(kDamagedPrefix) + path.filename().string());
    std::filesystem::rename(path, aside, error);
    LogLine("departures_damaged")
        .Add("path", path.string())
        .Add("moved_to", aside.string())
        .Add("detail", error.message())
        .Error();
  }
}

}  // namespace

struct DepartureStore::State {
  State(Runtime& runtime, DepartureStoreOptions given)
      : options(std::move(given)), disk(runtime) {}

  std::vector<TargetRecord> Kept() const {
    std::vector<TargetRecord> departures;
    departures.reserve(this->kept.size());
    for (const auto& [id, departure] : this->kept) {
      departures.push_back(departure.record);
    }
    return departures;
  }

  void Keep(const std::vector<TargetRecord>& departures, TimePoint now) {
    std::erase_if(this->kept, [&](const auto& item) {
      return now - item.second.saved > this->options.keep_for;
    });
    for (const TargetRecord& departure : departures) {
      const auto [place, is_new] = this->kept.try_emplace(departure.id);
      if (is_new || Supersedes(departure, place->second.record)) {
        place->second = {.record = departure, .saved = now};
      }
    }
  }

  tl::expected<void, StorageError> Open(TimePoint now);
  bool Write(const std::vector<TargetRecord>& departures);

  DepartureStoreOptions options;
  BlockingThread disk;
  std::unique_ptr<RecordStore> store;
  TimePoint reopen_at;
  // Read by the disk's thread too, while a fiber writes; changed only between.
  std::map<TargetId, KeptDeparture> kept;
  // What the next sync is for; null: nothing yet.
  std::shared_ptr<Batch> pending;
  boost::fibers::mutex writing;
};

tl::expected<void, StorageError> DepartureStore::State::Open(TimePoint now) {
  bool is_readable = true;
  const auto replay = [&](std::string_view bytes) {
    const auto departures = DecodeBytes<std::vector<TargetRecord>>(bytes);
    is_readable = is_readable && departures.has_value();
    if (departures) {
      this->Keep(*departures, now);
    }
  };
  auto opened = RecordStore::Open(
      {.folder = this->options.folder,
       .name = kName,
       .snapshot = [this] { return EncodeBytes(this->Kept()); },
       .sync_fails = this->options.sync_fails},
      replay);
  if (!opened && opened.error().kind == StorageErrorKind::kCorrupted) {
    LogFailure(opened.error());
    is_readable = false;
  } else if (!opened) {
    return tl::unexpected(opened.error());
  }
  if (is_readable) {
    this->store = *std::move(opened);
    return {};
  }
  opened = tl::unexpected(StorageError());
  MoveDamagedFiles(this->options.folder);
  opened = RecordStore::Open(
      {.folder = this->options.folder,
       .name = kName,
       .snapshot = [this] { return EncodeBytes(this->Kept()); },
       .sync_fails = this->options.sync_fails},
      replay);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  this->store = *std::move(opened);
  return {};
}

bool DepartureStore::State::Write(const std::vector<TargetRecord>& departures) {
  const TimePoint now = Runtime::Now();
  if (this->store == nullptr && now < this->reopen_at) {
    return false;
  }
  this->Keep(departures, now);
  tl::expected<void, StorageError> written;
  this->disk.Run([&] {
    const bool was_open = this->store != nullptr;
    if (!was_open) {
      written = this->Open(now);
    }
    if (written) {
      // What was kept while the files were closed isn't in them.
      written = this->store->Append(
          EncodeBytes(was_open ? departures : this->Kept()));
    }
    if (!written) {
      this->store.reset();
    }
  });
  if (!written) {
    this->reopen_at = Runtime::Now() + kReopenInterval;
    LogFailure(written.error());
  }
  return written.has_value();
}

DepartureStore::DepartureStore(Runtime& runtime, DepartureStoreOptions options)
    : state(std::make_unique<State>(runtime, std::move(options))) {}

DepartureStore::~DepartureStore() = default;

std::vector<TargetRecord> DepartureStore::Load() {
  if (const auto opened = this->state->Open(Runtime::Now()); !opened) {
    LogFailure(opened.error());
  }
  return this->state->Kept();
}

bool DepartureStore::Save(const std::vector<TargetRecord>& departures) {
  State& self = *this->state;
  if (self.pending == nullptr) {
    self.pending = std::make_shared<Batch>();
  }
  const std::shared_ptr<Batch> batch = self.pending;
  batch->departures.insert(batch->departures.end(), departures.begin(),
                           departures.end());
  const std::lock_guard<boost::fibers::mutex> lock(self.writing);
  if (!batch->is_saved) {
    self.pending.reset();
    batch->is_saved = self.Write(batch->departures);
  }
  return *batch->is_saved;
}

RecordStoreStats DepartureStore::stats() const {
  return this->state->store == nullptr ? RecordStoreStats()
                                       : this->state->store->stats();
}

}  // namespace knapweedroad
