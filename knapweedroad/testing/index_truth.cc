#include "knapweedroad/testing/index_truth.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <xxhash.h>

namespace knapweedroad {
namespace {

constexpr char kFieldEnd = '\n';

uint64_t Hash(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

// From 0 to 1, in steps that a double and its decimal text hold exactly.
double ScoreOf(uint64_t hash) {
  constexpr double kSteps = 1U << 31;
  return static_cast<double>(hash >> 33) / kSteps;
}

}  // namespace

std::vector<IndexHit> TrueHits(const IndexPart& part, std::string_view query) {
  const std::string prefix = part.front.str() + kFieldEnd + part.service.str() +
                             kFieldEnd + part.snapshot.ToString() + kFieldEnd +
                             std::string(query) + kFieldEnd;
  std::vector<IndexHit> hits;
  for (int rank = 0; rank < kHitsPerService; ++rank) {
    const uint64_t hash = Hash(prefix + std::to_string(rank));
    hits.push_back({.id = part.service.str() + "/" + std::to_string(hash),
                    .score = ScoreOf(hash)});
  }
  SortAndCut(hits, hits.size());
  return hits;
}

std::string TrueRecordText(const FrontId& front,
                           const SnapshotId& snapshot,
                           std::string_view record) {
  const std::string subject = front.str() + kFieldEnd + snapshot.ToString() +
                              kFieldEnd + std::string(record);
  return "record " + std::string(record) + " " + std::to_string(Hash(subject));
}

bool RecordExists(std::string_view record) {
  return !record.starts_with("no-");
}

void SortAndCut(std::vector<IndexHit>& hits, size_t limit) {
  std::sort(hits.begin(), hits.end(),
            [](const IndexHit& left, const IndexHit& right) {
              return std::tie(right.score, left.id) <
                     std::tie(left.score, right.id);
            });
  hits.resize(std::min(hits.size(), limit));
}

}  // namespace knapweedroad
