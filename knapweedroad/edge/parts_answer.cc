#include "knapweedroad/edge/parts_answer.h"

#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/routing/record_merge.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {

CallerAnswer MakePartsAnswer(const HeaderNames& header_names,
                             const RunEnd& end,
                             size_t top_records) {
  std::string seals;
  std::vector<std::string_view> bodies;
  bodies.reserve(end.parts.size());
  for (const TargetAnswer& part : end.parts) {
    if (!seals.empty()) {
      seals += ", ";
    }
    seals += part.seal;
    bodies.push_back(part.body);
  }
  CallerAnswer answer;
  AppendLine(answer.header, header_names.part_seals, seals);
  AppendLine(answer.header, header_names.missing_parts,
             std::to_string(end.missing_parts));
  answer.body = MergeRecords(bodies, top_records);
  return answer;
}

}  // namespace knapweedroad
