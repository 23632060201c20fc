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

Test(record_limit, it_asks_for_a_little_more_than_the_share) {
  const RecordLimit limit;
  const size_t wanted =
      limit.RecordsToRequest({.parts = 9, .shards = 36, .top_records = 50});
  cr_expect(wanted > 20 && wanted < 35, "%zu", wanted);
  cr_expect(limit.RecordsToRequest(
                {.parts = 1, .shards = 36, .top_records = 50}) < 12);
  cr_expect(limit.RecordsToRequest(
                {.parts = 36, .shards = 36, .top_records = 50}) == 50);
  cr_expect(
      limit.RecordsToRequest({.parts = 3, .shards = 3, .top_records = 5}) == 5);
}

// Guards against an index whose greatest records all lie in a few shards: each
// question would have to ask twice.
Test(record_limit, it_holds_less_back_where_that_was_not_enough) {
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

Test(record_limit, what_is_smaller_than_the_answers_last_record_is_not_needed) {
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
Test(record_limit, an_answer_without_need_of_more_is_exact) {
  std::mt19937 random(7);
  constexpr size_t kTop = 20;
  constexpr size_t kParts = 12;
  int needed_runs = 0;
  for (int run = 0; run < 300; ++run) {
    std::vector<std::string> parts(kParts);
    for (std::string& part : parts) {
      for (int i = 0; i < 30; ++i) {
        part += Record(random() % 400);
      }
    }
    const auto merge = [](const std::vector<std::string>& of, size_t top) {
      const std::vector<std::string_view> views(of.begin(), of.end());
      return MergeRecords(views, top);
    };
    const std::string exact = merge(parts, kTop);
    const std::vector<std::string> remote(parts.begin(), parts.begin() + 4);
    const std::string gathered = merge(remote, kTop);
    const size_t wanted =
        RecordLimit().RecordsToRequest(
            {.parts = 4, .shards = kParts, .top_records = kTop}) /
        2;
    const std::string sent = gathered.substr(0, wanted * kRecordBytes);
    std::vector<std::string> known(parts.begin() + 4, parts.end());
    known.push_back(sent);
    const std::string answer = merge(known, kTop);
    const bool needs_more = MayNeedWithheld(
        answer, kTop, {.sent = sent, .withheld = kTop - wanted});
    needed_runs += needs_more ? 1 : 0;
    cr_expect(needs_more || answer == exact);
  }
  cr_expect(needed_runs > 0 && needed_runs < 300, "%d", needed_runs);
}

// Answers the pattern of few parts, or small ones: a call costs as much.
Test(record_limit, few_small_parts_go_by_themselves) {
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
