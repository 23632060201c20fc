// How an entry host has another one, nearer to the targets, gather parts for
// it: one call in place of one exchange a target, and the parts' records
// merged.

#ifndef KNAPWEEDROAD_EDGE_GATHER_MESSAGES_H_
#define KNAPWEEDROAD_EDGE_GATHER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// The caller's request, see CallerRequest.
struct GatheredRequest {
  std::string method;
  std::string path;
  std::string host;
  std::string id;
  std::string header;
  std::string body;
  // Of the caller's answer, and how many parts that has in all: by these some
  // records are held back.
  uint32_t top_records = 0;
  uint32_t shards = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->method, this->path, this->host, this->id, this->header,
            this->body, this->top_records, this->shards);
  }
};

// One attempt on each of the targets, and nothing beyond that: whoever gathers
// for another sends no hedge and no retry.
struct GatherCall {
  // Names the call for GatherMoreCall and GatherEndCall.
  uint64_t token = 0;
  // Names the request, which is told with the first of its calls only.
  uint64_t request_token = 0;
  std::optional<GatheredRequest> request;
  int64_t time_left_us = 0;
  // What has come by then is told, the rest with GatherMoreCall.
  int64_t reply_within_us = 0;
  // On the number of records that are enough by chance, in percent.
  uint32_t record_percent = 100;
  std::vector<TargetId> targets;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->token, this->request_token, this->request, this->time_left_us,
            this->reply_within_us, this->record_percent, this->targets);
  }
};

// GatheredPart::kind of an attempt that wasn't made: the host knows no such
// target that requests may go to.
inline constexpr uint8_t kPartNotTried = 255;

// GatheredPart::target of the entry that carries the service times of the other
// entries, see gather_codec.h. It is beyond all targets of a call: hosts that
// don't know this entry ignore it.
inline constexpr uint16_t kServiceTimesEntry = 0xffff;

// How one of the attempts ended.
struct GatheredPart {
  // Index into GatherCall::targets.
  uint16_t target = 0;
  // ReplyKind, or kPartNotTried.
  uint8_t kind = 0;
  uint16_t status = 0;
  bool says_not_run = false;
  std::string seal;
  uint32_t latency_us = 0;
  // The load that the target told; no slots: it told none.
  uint16_t running = 0;
  uint16_t waiting = 0;
  uint16_t slots = 0;
  // Zero if the target didn't tell. Not among the serialized fields, as hosts
  // that don't know it couldn't read the reply.
  uint32_t service_time_percent = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->kind, this->status, this->says_not_run,
            this->seal, this->latency_us, this->running, this->waiting,
            this->slots);
  }
};

struct GatherReply {
  // Nothing was sent: the host is leaving, or gathers too much already.
  bool is_refused = false;
  // Nothing was sent: the call names a request that the host doesn't have.
  bool is_unknown = false;
  // Attempts that haven't ended.
  uint16_t running = 0;
  // Those that have ended since the last reply.
  std::vector<GatheredPart> parts;
  // The greatest records of the successes among them, see MergeRecords().
  std::string records;
  // How many more of them are held back, under this number, for a moment.
  uint16_t held = 0;
  uint16_t batch = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_refused, this->is_unknown, this->running, this->parts,
            this->records, this->held, this->batch);
  }
};

// Asks for the records that were held back.
struct GatherHeldCall {
  uint64_t token = 0;
  uint16_t batch = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->token, this->batch);
  }
};

struct GatherHeldReply {
  // False: they are not held any more.
  bool is_found = false;
  std::string records;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_found, this->records);
  }
};

// Asks for those that end from now on; answered when one has.
struct GatherMoreCall {
  uint64_t token = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->token);
  }
};

// Nobody waits for the rest: its attempts are cut within the grace.
struct GatherEndCall {
  uint64_t token = 0;
  int64_t grace_us = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->token, this->grace_us);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_MESSAGES_H_
