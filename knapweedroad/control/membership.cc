#include "knapweedroad/control/membership.h"

#include <algorithm>

namespace knapweedroad {
namespace {

bool IsMajority(const std::vector<MemberId>& of,
                const std::set<MemberId>& members) {
  const auto present = std::count_if(
      of.begin(), of.end(),
      [&](const MemberId& member) { return members.contains(member); });
  return static_cast<size_t>(present) * 2 > of.size();
}

}  // namespace

bool Membership::IsQuorum(const std::set<MemberId>& members) const {
  if (!IsMajority(this->current, members)) {
    return false;
  }
  return this->phase == MembershipPhase::kStable ||
         IsMajority(this->next, members);
}

std::vector<MemberId> Membership::Everyone() const {
  std::vector<MemberId> everyone = this->current;
  const std::vector<MemberId> joining = this->Joining();
  everyone.insert(everyone.end(), joining.begin(), joining.end());
  return everyone;
}

std::vector<MemberId> Membership::Joining() const {
  std::vector<MemberId> joining;
  for (const MemberId& member : this->next) {
    if (std::find(this->current.begin(), this->current.end(), member) ==
        this->current.end()) {
      joining.push_back(member);
    }
  }
  return joining;
}

std::optional<MemberId> Membership::FindCurrent(const HostId& host) const {
  for (const MemberId& member : this->current) {
    if (member.host == host) {
      return member;
    }
  }
  return std::nullopt;
}

}  // namespace knapweedroad
