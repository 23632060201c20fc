// The messages between an entry host and one that gathers parts for it: one
// call replaces an exchange with each target, and the reply has the merged
// records of the parts.

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
  // The number of records of the caller's answer, and the number of its parts.
  // They determine how many records may be left out of a reply.
  uint32_t top_records = 0;
  uint32_t shards = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->method, this->path, this->host, this->id, this->header,
            this->body, this->top_records, this->shards);
  }
};

// Asks for one attempt on each of the targets. The gathering host sends no
// hedges and no retries.
struct GatherCall {
  // Identifies the call in GatherMoreCall and GatherEndCall.
  uint64_t token = 0;
  // Identifies the request, which only the first of its calls to a host
  // contains.
  uint64_t request_token = 0;
  std::optional<GatheredRequest> request;
  int64_t time_left_us = 0;
  // The time until the reply, which has the parts that have ended by then. The
  // rest is returned by GatherMoreCall.
  int64_t reply_within_us = 0;
  // A factor on the number of records that are likely to suffice, in percent.
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
  // The load that the target reported; `slots` is zero if it reported none.
  uint16_t running = 0;
  uint16_t waiting = 0;
  uint16_t slots = 0;
  // Zero if the target didn't report it. Not among the serialized fields, as
  // hosts that don't know it couldn't read the reply.
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
  // The number of records that were left out, which can be fetched for a short
  // time under the number `batch`.
  uint16_t held = 0;
  uint16_t batch = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_refused, this->is_unknown, this->running, this->parts,
            this->records, this->held, this->batch);
  }
};

// Asks for the records that were left out of a reply.
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
  // False if the records have been dropped.
  bool is_found = false;
  std::string records;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_found, this->records);
  }
};

// Asks for the remaining parts. The reply comes when one of them has ended.
struct GatherMoreCall {
  uint64_t token = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->token);
  }
};

// Says that the remaining parts are not needed. Their attempts are cancelled
// after the grace.
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
