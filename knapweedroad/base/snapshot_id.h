// The identity of one consistent state of an index.
//
//   auto snapshot = SnapshotId::Parse("2.17");
//   if (!snapshot) return Refuse(snapshot.error());

#ifndef KNAPWEEDROAD_BASE_SNAPSHOT_ID_H_
#define KNAPWEEDROAD_BASE_SNAPSHOT_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace knapweedroad {

// A partition generation (which service holds which part of the index) and an
// index version inside it. Ordered: a higher one is newer.
struct SnapshotId {
  uint32_t generation = 0;
  uint64_t index_version = 0;

  friend auto operator<=>(const SnapshotId&, const SnapshotId&) = default;

  // "GENERATION.VERSION", the form of headers and bodies.
  std::string ToString() const;

  // Reads that form; the error says what was expected.
  static tl::expected<SnapshotId, std::string> Parse(std::string_view text);

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->generation, this->index_version);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_SNAPSHOT_ID_H_
