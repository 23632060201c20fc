#include "knapweedroad/base/snapshot_id.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

Test(SnapshotId, ReadsWhatItWrites) {
  const SnapshotId snapshot{.generation = 2, .index_version = 17};
  cr_assert(SnapshotId::Parse(snapshot.ToString()) == snapshot);
}

Test(SnapshotId, RefusesWhatIsNoPairOfNumbers) {
  for (const char* text : {"", "2", "2.", ".2", "2.x", "2.1.3", "-1.2"}) {
    cr_expect(!SnapshotId::Parse(text).has_value(), "%s", text);
  }
}

Test(SnapshotId, ANewGenerationIsNewerThanAnyVersionOfTheOld) {
  const SnapshotId old_generation{.generation = 1, .index_version = 99};
  const SnapshotId new_generation{.generation = 2, .index_version = 1};
  cr_assert(new_generation > old_generation);
}

}  // namespace
}  // namespace knapweedroad
