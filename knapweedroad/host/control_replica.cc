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

namespace knapweedroad {
namespace {

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
  explicit State(Runtime& runtime) : disk(runtime) {}

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

  std::optional<Acceptor> acceptor;
  std::unique_ptr<RecordStore> store;
  BlockingThread disk;
  boost::fibers::mutex serving;
  bool broken = false;
};

ControlReplica::ControlReplica(std::unique_ptr<State> state)
    : state(std::move(state)) {}

ControlReplica::~ControlReplica() = default;

tl::expected<std::unique_ptr<ControlReplica>, StorageError>
ControlReplica::Open(Runtime& runtime, ControlReplicaOptions options) {
  auto state = std::make_unique<State>(runtime);
  State& self = *state;
  std::optional<std::string> unreadable;
  auto store = RecordStore::Open(
      {.folder = options.folder,
       .snapshot =
           [&self] { return EncodeAcceptorRecord(self.acceptor->Snapshot()); },
       .sync_fails = std::move(options.sync_fails)},
      [&](std::string_view bytes) {
        const auto record = DecodeAcceptorRecord(bytes);
        if (!record.has_value()) {
          unreadable = record.error();
          return;
        }
        if (!self.acceptor.has_value()) {
          self.acceptor.emplace(record->self);
        }
        self.acceptor->Recover(*record);
      });
  if (!store.has_value()) {
    return tl::unexpected(store.error());
  }
  self.store = *std::move(store);
  if (unreadable.has_value()) {
    return tl::unexpected(StorageError{
        .kind = StorageErrorKind::kDamaged,
        .path = options.folder,
        .detail = "a whole record can't be read (written by another version "
                  "of the program?): " +
                  *unreadable});
  }
  if (!self.acceptor.has_value()) {
    self.acceptor.emplace(MemberId{options.host, RandomIncarnation()});
    const auto stored =
        self.store->Append(EncodeAcceptorRecord(self.acceptor->Snapshot()));
    if (!stored.has_value()) {
      return tl::unexpected(stored.error());
    }
  }
  if (self.acceptor->id().host != options.host) {
    return tl::unexpected(StorageError{
        .kind = StorageErrorKind::kDamaged,
        .path = options.folder,
        .detail = "the data folder belongs to host '" +
                  self.acceptor->id().host.str() +
                  "': give it back, or move it away to start blank"});
  }
  LogLine("control_replica_open")
      .Add("member", self.acceptor->id())
      .Add("records", self.store->stats().records_read)
      .Add("torn_bytes_cut", self.store->stats().torn_bytes_cut)
      .Info();
  return std::unique_ptr<ControlReplica>(new ControlReplica(std::move(state)));
}

tl::expected<std::string, std::string> ControlReplica::OnPeerMessage(
    std::string_view bytes) {
  const auto message = DecodeControlMessage(bytes);
  if (!message.has_value()) {
    return tl::unexpected(message.error());
  }
  const std::lock_guard<boost::fibers::mutex> lock(this->state->serving);
  if (this->state->broken) {
    return tl::unexpected(std::string("the replica's disk failed"));
  }
  return this->state->Serve(*message);
}

void ControlReplica::Learn(const Membership& members) {
  this->state->acceptor->Learn(members);
}

const MemberId& ControlReplica::id() const {
  return this->state->acceptor->id();
}

const std::optional<ControlValue>& ControlReplica::accepted() const {
  return this->state->acceptor->current().value;
}

const RecordStoreStats& ControlReplica::stats() const {
  return this->state->store->stats();
}

bool ControlReplica::broken() const {
  return this->state->broken;
}

}  // namespace knapweedroad
