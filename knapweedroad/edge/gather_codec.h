// The bytes of replies between entry hosts, which hosts of earlier versions can
// read as well.
//
//   std::string bytes = EncodeGatherReply(std::move(reply));
//   auto reply = DecodeGatherReply(bytes);

#ifndef KNAPWEEDROAD_EDGE_GATHER_CODEC_H_
#define KNAPWEEDROAD_EDGE_GATHER_CODEC_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/edge/gather_messages.h"

namespace knapweedroad {

// A reply whose targets report no service times has the same bytes as in
// earlier versions. Otherwise the service times of all entries are in one more
// entry, kServiceTimesEntry.
std::string EncodeGatherReply(GatherReply reply);

// Returns the reply without that entry. Service times that don't fit the
// entries are ignored.
tl::expected<GatherReply, std::string> DecodeGatherReply(
    std::string_view bytes);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_GATHER_CODEC_H_
