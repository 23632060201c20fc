#include "knapweedroad/host/control_replica.h"

#include <mutex>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include <boost/fiber/mutex.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/control/acceptor_record.h"
#include "knapweedroad/host/blocking_thread.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

// A disk that failed is tried again this often.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);

uint64_t RandomIncarnation() {
  std::random_device device;
  uint64_t incarnation = 0;
  while (incarnation == 0) {
    incarnation = (uint64_t{device()} << 32) | device();
  }
  return incarnation;
}

}  // namespace

struct ControlReplica::State {
  State(Runtime& runtime, ControlReplicaOptions options)
      : options(std::move(options)), disk(runtime) {}

  // Reads the folder from the start, as a process that starts anew does.
  tl::expected<void, StorageError> Load();

  // A replica whose disk refused a write takes part again once the disk is
  // well. What is in memory may be ahead of the disk and is thrown away; what
  // the disk holds is synced before any of it is told.
  bool Reopen() {
    const TimePoint now = Runtime::Now();
    if (now < this->reopen_at) {
      return false;
    }
    this->reopen_at = now + kReopenInterval;
    tl::expected<void, StorageError> loaded;
    this->disk.Run([&] {
      this->store.reset();
      this->acceptor.reset();
      loaded = this->Load();
    });
    if (!loaded.has_value()) {
      LogLine("control_disk_still_failing")
          .Add("path", loaded.error().path)
          .Add("detail", loaded.error().detail)
          .Warning();
      return false;
    }
    this->broken = false;
    LogLine("control_disk_recovered").Add("member", this->self).Info();
    return true;
  }

  using Answer = tl::expected<std::string, std::string>;

  template <typename Reply>
  Answer Sync(const AcceptorStep<Reply>& step) {
    if (step.to_sync.has_value() && !this->Store(*step.to_sync)) {
      return tl::unexpected(std::string("the replica's disk failed"));
    }
    return EncodeControlMessage(step.reply);
  }

  bool Store(const AcceptorRecord& record) {
    const std::string bytes = EncodeAcceptorRecord(record);
    tl::expected<void, StorageError> stored;
    this->disk.Run([&] { stored = this->store->Append(bytes); });
    if (!stored.has_value()) {
      this->broken = true;
      this->reopen_at = Runtime::Now() + kReopenInterval;
      LogLine("control_disk_failed")
          .Add("path", stored.error().path)
          .Add("detail", stored.error().detail)
          .Error();
    }
    return stored.has_value();
  }

  Answer Serve(const ControlMessage& message) {
    if (const auto* query = std::get_if<QueryRequest>(&message)) {
      return EncodeControlMessage(this->acceptor->OnQuery(*query));
    }
    if (const auto* prepare = std::get_if<PrepareRequest>(&message)) {
      return this->Sync(this->acceptor->OnPrepare(*prepare));
    }
    if (const auto* accept = std::get_if<AcceptRequest>(&message)) {
      return this->Sync(this->acceptor->OnAccept(*accept));
    }
    return tl::unexpected(std::string("not a request"));
  }

  ControlReplicaOptions options;
  MemberId self;
  std::optional<Acceptor> acceptor;
  std::unique_ptr<RecordStore> store;
  BlockingThread disk;
  boost::fibers::mutex serving;
  bool broken = false;
  TimePoint reopen_at;
};

ControlReplica::ControlReplica(std::unique_ptr<State> state)
    : state(std::move(state)) {}

ControlReplica::~ControlReplica() = default;

tl::expected<void, StorageError> ControlReplica::State::Load() {
  std::optional<std::string> unreadable;
  auto opened = RecordStore::Open(
      {.folder = this->options.folder,
       .snapshot =
           [this] { return EncodeAcceptorRecord(this->acceptor->Snapshot()); },
       .sync_fails = this->options.sync_fails},
      [&](std::string_view bytes) {
        const auto record = DecodeAcceptorRecord(bytes);
        if (!record.has_value()) {
          unreadable = record.error();
          return;
        }
        if (!this->acceptor.has_value()) {
          this->acceptor.emplace(record->self);
        }
        this->acceptor->Recover(*record);
      });
  if (!opened.has_value()) {
    return tl::unexpected(opened.error());
  }
  this->store = *std::move(opened);
  if (unreadable.has_value()) {
    return tl::unexpected(StorageError{
        .kind = StorageErrorKind::kCorrupted,
        .path = this->options.folder,
        .detail = "a whole record can't be read (written by another version "
                  "of the program?): " +
                  *unreadable});
  }
  if (!this->acceptor.has_value()) {
    this->acceptor.emplace(MemberId{this->options.host, RandomIncarnation()});
    const auto stored =
        this->store->Append(EncodeAcceptorRecord(this->acceptor->Snapshot()));
    if (!stored.has_value()) {
      return tl::unexpected(stored.error());
    }
  }
  if (this->acceptor->id().host != this->options.host) {
    return tl::unexpected(StorageError{
        .kind = StorageErrorKind::kCorrupted,
        .path = this->options.folder,
        .detail = "the data folder belongs to host '" +
                  this->acceptor->id().host.str() +
                  "': give it back, or move it away to start blank"});
  }
  this->self = this->acceptor->id();
  LogLine line("control_replica_open");
  line.Add("member", this->self)
      .Add("records", this->store->stats().records_read)
      .Add("torn_bytes_cut", this->store->stats().torn_bytes_truncated);
  if (const auto& value = this->acceptor->current().value) {
    line.Add("version", value->version)
        .Add("epoch", value->members.epoch)
        .Add("phase", static_cast<int>(value->members.phase))
        .Add("members", value->members.Everyone().size());
  }
  line.Info();
  return {};
}

tl::expected<std::unique_ptr<ControlReplica>, StorageError>
ControlReplica::Open(Runtime& runtime, ControlReplicaOptions options) {
  auto state = std::make_unique<State>(runtime, std::move(options));
  const auto loaded = state->Load();
  if (!loaded.has_value()) {
    return tl::unexpected(loaded.error());
  }
  return std::unique_ptr<ControlReplica>(new ControlReplica(std::move(state)));
}

tl::expected<std::string, std::string> ControlReplica::OnPeerMessage(
    std::string_view bytes) {
  const auto message = DecodeControlMessage(bytes);
  if (!message.has_value()) {
    return tl::unexpected(message.error());
  }
  const std::lock_guard<boost::fibers::mutex> lock(this->state->serving);
  if (this->state->broken && !this->state->Reopen()) {
    return tl::unexpected(std::string("the replica's disk failed"));
  }
  return this->state->Serve(*message);
}

void ControlReplica::Learn(const Membership& members) {
  if (this->state->acceptor.has_value()) {
    this->state->acceptor->Learn(members);
  }
}

const MemberId& ControlReplica::id() const {
  return this->state->self;
}

const std::optional<ControlValue>& ControlReplica::accepted() const {
  static const std::optional<ControlValue> nothing;
  // The disk's thread reads a broken replica anew.
  return !this->state->broken && this->state->acceptor.has_value()
             ? this->state->acceptor->current().value
             : nothing;
}

RecordStoreStats ControlReplica::stats() const {
  return this->state->store == nullptr ? RecordStoreStats()
                                       : this->state->store->stats();
}

bool ControlReplica::broken() const {
  return this->state->broken;
}

}  // namespace knapweedroad
