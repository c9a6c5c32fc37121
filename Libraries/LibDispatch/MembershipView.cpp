#include "LibDispatch/MembershipView.h"

namespace vanillaworks::dispatch {

void
MembershipView::Observe(const std::vector<MemberRow>& aRows, MonotonicTime aNow)
{
  // No entry can renew its lease while the table is unavailable, so the time
  // of an outage does not count towards the expiry of any lease.
  bool isReadGap = !observed_ || aNow - lastRead_ > maxReadGap_;
  std::map<EntryId, Member> next;
  for (const auto& row : aRows) {
    auto known = members_.find(row.identity.entry);
    bool isUnchanged =
      known != members_.end() && known->second.row.rowVersion == row.rowVersion;
    Member member{ row, aNow, false };
    if (isUnchanged && !isReadGap) {
      member.unchangedSince = known->second.unchangedSince;
      member.lapsed = aNow - member.unchangedSince > lease_;
    }
    next.emplace(row.identity.entry, std::move(member));
  }
  members_ = std::move(next);
  lastRead_ = aNow;
  observed_ = true;
}

bool
MembershipView::IsLapsed(const EntryIdentity& aIdentity) const
{
  if (!observed_) {
    return false;
  }
  auto member = members_.find(aIdentity.entry);
  if (member == members_.end()) {
    return true;
  }
  const auto& row = member->second.row;
  return row.identity.incarnation > aIdentity.incarnation ||
         (row.identity.incarnation == aIdentity.incarnation &&
          member->second.lapsed);
}

std::vector<MemberRow>
MembershipView::RemovableRows(MonotonicTime aNow) const
{
  constexpr Milliseconds kRemovalDelay{ 30'000 };
  std::vector<MemberRow> removable;
  std::size_t live = 0;
  for (const auto& [entry, member] : members_) {
    live += member.lapsed ? 0 : 1;
    if (member.lapsed && aNow - member.unchangedSince > kRemovalDelay) {
      removable.push_back(member.row);
    }
  }
  bool isMajority = live > members_.size() / 2;
  return isMajority ? removable : std::vector<MemberRow>();
}

std::vector<MemberRow>
MembershipView::Rows() const
{
  std::vector<MemberRow> rows;
  for (const auto& [entry, member] : members_) {
    rows.push_back(member.row);
  }
  return rows;
}

std::set<EntryId>
MembershipView::Members() const
{
  std::set<EntryId> members;
  for (const auto& [entry, member] : members_) {
    members.insert(entry);
  }
  return members;
}

std::vector<std::string>
MembershipView::Addresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [entry, member] : members_) {
    addresses.push_back(member.row.address);
  }
  return addresses;
}

}
