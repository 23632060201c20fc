#include "knapweedroad/host/configuration_keeper.h"

#include <criterion/criterion.h>

#include "knapweedroad/host/configuration_test_text.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow{100s};

void Put(ConfigurationKeeper& keeper, uint64_t version, int weight) {
  cr_assert(keeper.Offer(version, DeploymentText(weight), kNow).has_value());
}

uint32_t Weight(const ConfigurationKeeper& keeper) {
  return keeper.current()->fronts[0].tenants[0].weight;
}

Test(ConfigurationKeeper, VersionNeverFalls) {
  // A host serves with version 8. A peer that was cut off for long still
  // offers version 7, by the whole text and by a difference.
  ConfigurationKeeper behind;
  Put(behind, 7, 7);
  ConfigurationKeeper keeper;
  Put(keeper, 8, 8);
  cr_assert(keeper.Offer(7, DeploymentText(7), kNow).has_value());
  cr_assert(keeper.Apply(behind.PushFrom(8), kNow).has_value());
  cr_expect_eq(keeper.version(), 8);
  cr_expect_eq(Weight(keeper), 8);
}

Test(ConfigurationKeeper, FirstAgreedVersionReplacesTheInitialOne) {
  // A host starts with its own file. The first agreed version is another
  // text: were the file version 1, the host would keep it for good.
  ConfigurationKeeper keeper;
  Put(keeper, 0, 5);
  cr_expect_eq(Weight(keeper), 5);
  Put(keeper, 1, 6);
  cr_expect_eq(keeper.version(), 1);
  cr_expect_eq(Weight(keeper), 6);
}

Test(ConfigurationKeeper, InitialOneDoesNotReplaceAnAgreedOne) {
  ConfigurationKeeper keeper;
  Put(keeper, 1, 6);
  Put(keeper, 0, 5);
  cr_expect_eq(Weight(keeper), 6);
}

Test(ConfigurationKeeper, DifferenceMakesTheSameText) {
  ConfigurationKeeper ahead;
  Put(ahead, 1, 1);
  Put(ahead, 2, 2);
  ConfigurationKeeper behind;
  Put(behind, 1, 1);
  const ConfigurationPush push = ahead.PushFrom(1);
  cr_expect_eq(push.base_version, 1);
  cr_expect_lt(push.body.size(), ahead.text().size());
  cr_assert(behind.Apply(push, kNow).has_value());
  cr_expect_eq(behind.version(), 2);
  cr_expect(behind.text() == ahead.text());
}

Test(ConfigurationKeeper, CommentsAndLayoutDoNotMatter) {
  // One host has the operator's own file, another one the same without its
  // comments; the difference has to fit both.
  ConfigurationKeeper ahead;
  const std::string commented = DeploymentText(1, "// As agreed on Monday.\n");
  cr_assert(ahead.Offer(1, commented, kNow).has_value());
  Put(ahead, 2, 2);
  ConfigurationKeeper behind;
  Put(behind, 1, 1);
  cr_assert(behind.Apply(ahead.PushFrom(1), kNow).has_value());
  cr_expect(behind.text() == ahead.text());
}

Test(ConfigurationKeeper, UnknownBaseGetsTheWholeText) {
  ConfigurationKeeper ahead;
  Put(ahead, 5, 5);
  Put(ahead, 6, 6);
  cr_expect_eq(ahead.PushFrom(4).base_version, 0);
  cr_expect_eq(ahead.PushFrom(0).base_version, 0);
  ConfigurationKeeper behind;
  Put(behind, 4, 4);
  cr_assert(behind.Apply(ahead.PushFrom(4), kNow).has_value());
  cr_expect_eq(Weight(behind), 6);
}

Test(ConfigurationKeeper, LongPastBaseGetsTheWholeText) {
  ConfigurationKeeper ahead;
  for (int version = 1; version <= 40; ++version) {
    Put(ahead, static_cast<uint64_t>(version), version);
  }
  cr_expect_eq(ahead.PushFrom(1).base_version, 0);
  cr_expect_eq(ahead.PushFrom(39).base_version, 39);
}

Test(ConfigurationKeeper, DifferenceFromAnotherTextIsRefused) {
  // Two hosts have different texts under version 1. The difference to version
  // 2 fits both, but would give them two texts again; the checksum shows it,
  // and the whole text then mends it.
  ConfigurationKeeper ahead;
  Put(ahead, 1, 1);
  Put(ahead, 2, 2);
  ConfigurationKeeper other;
  std::string text = DeploymentText(1);
  text.replace(text.find("be-centre"), 9, "be-margin");
  cr_assert(other.Offer(1, text, kNow).has_value());
  cr_expect_not(other.Apply(ahead.PushFrom(1), kNow).has_value());
  cr_expect_eq(other.version(), 1);
  cr_assert(other.Apply(ahead.PushFrom(0), kNow).has_value());
  cr_expect(other.text() == ahead.text());
}

Test(ConfigurationKeeper, DamagedDifferenceIsRefused) {
  ConfigurationKeeper ahead;
  Put(ahead, 1, 1);
  Put(ahead, 2, 2);
  ConfigurationKeeper behind;
  Put(behind, 1, 1);
  for (const char* body : {"", "{}", "[1]", R"([{"op": "remove"}])",
                           R"([{"op": "remove", "path": "/none"}])"}) {
    ConfigurationPush push = ahead.PushFrom(1);
    push.body = body;
    cr_expect_not(behind.Apply(push, kNow).has_value(), "%s", body);
  }
  cr_expect_eq(behind.version(), 1);
}

Test(ConfigurationKeeper, UnusableTextLeavesTheCurrentOneInForce) {
  ConfigurationKeeper keeper;
  Put(keeper, 1, 1);
  cr_expect_not(keeper.Offer(2, "{}", kNow).has_value());
  cr_expect_eq(keeper.version(), 1);
  cr_expect_eq(Weight(keeper), 1);
}

Test(ConfigurationKeeper, AgreedTextWinsUnderTheSameNumber) {
  // By whatever fault a host has another text under the agreed number; without
  // a further change nothing would ever replace it.
  ConfigurationKeeper keeper;
  Put(keeper, 3, 1);
  cr_assert(keeper.OfferAgreed(3, DeploymentText(9), kNow).has_value());
  cr_expect_eq(keeper.version(), 3);
  cr_expect_eq(Weight(keeper), 9);
}

Test(ConfigurationKeeper, TellsOfEachNewVersionOnce) {
  ConfigurationKeeper keeper;
  int told = 0;
  keeper.OnChange([&](const DeploymentConfig&) { ++told; });
  Put(keeper, 1, 1);
  Put(keeper, 1, 1);
  cr_assert(keeper.OfferAgreed(1, DeploymentText(1), kNow).has_value());
  Put(keeper, 2, 2);
  cr_expect_eq(told, 2);
}

}  // namespace
}  // namespace knapweedroad
