#include "knapweedroad/control/acceptor.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

const MemberId kSelf{.host = HostId("a"), .incarnation = 1};
const Ballot kBallot{.round = 3, .proposer = 9};

Membership Members(uint64_t epoch) {
  return {.epoch = epoch, .current = {kSelf}};
}

Acceptor Holding(const Membership& members) {
  Acceptor acceptor(kSelf);
  acceptor.Recover({.promised = kBallot,
                    .accepted = kBallot,
                    .value = ControlValue{.members = members}});
  acceptor.Learn(members);
  return acceptor;
}

Test(acceptor, who_holds_the_value_is_not_told_its_members_again) {
  const Acceptor acceptor = Holding(Members(5));
  const QueryRequest same{.to = kSelf, .held = kBallot};
  cr_expect(acceptor.OnQuery(same).known_members.empty());
  cr_expect(!acceptor.OnQuery(same).value.has_value());
  const QueryRequest blank{.to = kSelf};
  cr_expect(acceptor.OnQuery(blank).known_members.size() == 1);
}

// Guards against a reader that is never told of members newer than its value.
Test(acceptor, who_holds_the_value_is_told_newer_members) {
  Acceptor acceptor = Holding(Members(5));
  acceptor.Learn(Members(6));
  const QueryRequest same{.to = kSelf, .held = kBallot};
  cr_expect(acceptor.OnQuery(same).known_members.size() == 1);
}

}  // namespace
}  // namespace knapweedroad
