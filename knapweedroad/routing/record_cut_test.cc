#include "knapweedroad/routing/record_cut.h"

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

Test(record_cut, it_asks_for_a_little_more_than_the_share) {
  const RecordCut cut;
  const size_t wanted = cut.Wanted({.parts = 9, .shards = 36, .top = 50});
  cr_expect(wanted > 20 && wanted < 35, "%zu", wanted);
  cr_expect(cut.Wanted({.parts = 1, .shards = 36, .top = 50}) < 12);
  cr_expect(cut.Wanted({.parts = 36, .shards = 36, .top = 50}) == 50);
  cr_expect(cut.Wanted({.parts = 3, .shards = 3, .top = 5}) == 5);
}

// Guards against an index whose greatest records all lie in a few shards: each
// question would have to ask twice.
Test(record_cut, it_holds_less_back_where_that_was_not_enough) {
  RecordCut cut;
  for (int i = 0; i < 10; ++i) {
    cut.OnUsed(false);
  }
  cr_expect(cut.Wanted({.parts = 1, .shards = 36, .top = 50}) == 50);
  for (int i = 0; i < 6000; ++i) {
    cut.OnUsed(true);
  }
  cr_expect(cut.Wanted({.parts = 1, .shards = 36, .top = 50}) < 12);
}

Test(record_cut, what_is_smaller_than_the_answers_last_record_is_not_needed) {
  const std::string answer = Record(9) + Record(8) + Record(5);
  cr_expect(
      !MayNeedHeld(answer, 3, {.sent = Record(8) + Record(5), .held = 4}));
  const std::string sent = Record(8) + Record(6);
  cr_expect(MayNeedHeld(answer, 3, {.sent = sent, .held = 4}));
  cr_expect(!MayNeedHeld(answer, 3, {.sent = sent, .held = 0}));
  cr_expect(MayNeedHeld(answer, 4, {.sent = Record(5), .held = 1}));
  cr_expect(MayNeedHeld(answer, 3, {.sent = "", .held = 1}));
}

// Guards against an answer that lacks one of the greatest records.
Test(record_cut, an_answer_without_need_of_more_is_exact) {
  std::mt19937 random(7);
  constexpr size_t kTop = 20;
  constexpr size_t kParts = 12;
  int needed = 0;
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
    const std::vector<std::string> far(parts.begin(), parts.begin() + 4);
    const std::string gathered = merge(far, kTop);
    const size_t wanted =
        RecordCut().Wanted({.parts = 4, .shards = kParts, .top = kTop}) / 2;
    const std::string sent = gathered.substr(0, wanted * kRecordBytes);
    std::vector<std::string> known(parts.begin() + 4, parts.end());
    known.push_back(sent);
    const std::string answer = merge(known, kTop);
    const bool needs_more =
        MayNeedHeld(answer, kTop, {.sent = sent, .held = kTop - wanted});
    needed += needs_more ? 1 : 0;
    cr_expect(needs_more || answer == exact);
  }
  cr_expect(needed > 0 && needed < 300, "%d", needed);
}

// Answers the pattern of few parts, or small ones: a call costs as much.
Test(record_cut, few_small_parts_go_by_themselves) {
  const auto cheaper = [](size_t parts, double bytes, size_t records) {
    return IsGatheringCheaper({.parts = parts,
                               .part_bytes = bytes,
                               .request_bytes = 120,
                               .wanted_records = records});
  };
  cr_expect(cheaper(9, 1000, 26));
  cr_expect(cheaper(1, 1000, 8));
  cr_expect(!cheaper(1, 100, 5));
  cr_expect(cheaper(4, 100, 5));
}

}  // namespace
}  // namespace knapweedroad
