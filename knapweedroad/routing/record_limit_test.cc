#include "knapweedroad/routing/record_limit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/routing/record_merge.h"

namespace knapweedroad {
namespace {

std::string Record(uint32_t value) {
  std::string record(kRecordBytes, '\0');
  for (size_t i = 0; i < sizeof value; ++i) {
    record[i] = static_cast<char>(value >> (8 * (sizeof value - 1 - i)));
  }
  return record;
}

Test(record_limit, requests_slightly_more_than_the_expected_records) {
  const RecordLimit limit;
  const size_t requested =
      limit.RecordsToRequest({.parts = 9, .shards = 36, .top_records = 50});
  cr_expect(requested > 20 && requested < 35, "%zu", requested);
  cr_expect(limit.RecordsToRequest(
                {.parts = 1, .shards = 36, .top_records = 50}) < 12);
  cr_expect(limit.RecordsToRequest(
                {.parts = 36, .shards = 36, .top_records = 50}) == 50);
  cr_expect(
      limit.RecordsToRequest({.parts = 3, .shards = 3, .top_records = 5}) == 5);
}

// Guards against two requests for each answer where the greatest records of an
// index are all in a few shards.
Test(record_limit, rises_when_records_were_missing) {
  RecordLimit limit;
  for (int i = 0; i < 10; ++i) {
    limit.OnMerged(false);
  }
  cr_expect(limit.RecordsToRequest(
                {.parts = 1, .shards = 36, .top_records = 50}) == 50);
  for (int i = 0; i < 6000; ++i) {
    limit.OnMerged(true);
  }
  cr_expect(limit.RecordsToRequest(
                {.parts = 1, .shards = 36, .top_records = 50}) < 12);
}

Test(record_limit, records_below_the_answers_last_record_are_not_needed) {
  const std::string answer = Record(9) + Record(8) + Record(5);
  cr_expect(!MayNeedWithheld(answer, 3,
                             {.sent = Record(8) + Record(5), .withheld = 4}));
  const std::string sent = Record(8) + Record(6);
  cr_expect(MayNeedWithheld(answer, 3, {.sent = sent, .withheld = 4}));
  cr_expect(!MayNeedWithheld(answer, 3, {.sent = sent, .withheld = 0}));
  cr_expect(MayNeedWithheld(answer, 4, {.sent = Record(5), .withheld = 1}));
  cr_expect(MayNeedWithheld(answer, 3, {.sent = "", .withheld = 1}));
}

// Guards against an answer that lacks one of the greatest records.
Test(record_limit, an_answer_that_needs_no_withheld_records_is_exact) {
  std::mt19937 random(7);
  constexpr size_t kTop = 20;
  constexpr size_t kParts = 12;
  int runs_needing_more = 0;
  for (int run = 0; run < 300; ++run) {
    std::vector<std::string> parts(kParts);
    for (std::string& part : parts) {
      for (int i = 0; i < 30; ++i) {
        part += Record(random() % 400);
      }
    }
    const auto merge = [](const std::vector<std::string>& merged, size_t top) {
      const std::vector<std::string_view> views(merged.begin(), merged.end());
      return MergeRecords(views, top);
    };
    const std::string exact = merge(parts, kTop);
    const std::vector<std::string> remote(parts.begin(), parts.begin() + 4);
    const std::string gathered = merge(remote, kTop);
    const size_t requested =
        RecordLimit().RecordsToRequest(
            {.parts = 4, .shards = kParts, .top_records = kTop}) /
        2;
    const std::string sent = gathered.substr(0, requested * kRecordBytes);
    std::vector<std::string> received(parts.begin() + 4, parts.end());
    received.push_back(sent);
    const std::string answer = merge(received, kTop);
    const bool needs_more = MayNeedWithheld(
        answer, kTop, {.sent = sent, .withheld = kTop - requested});
    runs_needing_more += needs_more ? 1 : 0;
    cr_expect(needs_more || answer == exact);
  }
  cr_expect(runs_needing_more > 0 && runs_needing_more < 300, "%d",
            runs_needing_more);
}

// Guards against gathering a few small parts, whose gather call would take as
// many bytes as requesting them directly.
Test(record_limit, few_small_parts_are_requested_directly) {
  const auto cheaper = [](size_t parts, double bytes, size_t records) {
    return IsGatheringCheaper({.parts = parts,
                               .part_bytes = bytes,
                               .request_bytes = 120,
                               .requested_records = records});
  };
  cr_expect(cheaper(9, 1000, 26));
  cr_expect(cheaper(1, 1000, 8));
  cr_expect(!cheaper(1, 100, 5));
  cr_expect(cheaper(4, 100, 5));
}

}  // namespace
}  // namespace knapweedroad
