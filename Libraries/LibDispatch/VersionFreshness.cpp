#include "LibDispatch/VersionFreshness.h"

#include <algorithm>
#include <vector>

namespace vanillaworks::dispatch {

void
VersionFreshness::OnTableRead(MonotonicTime aStarted)
{
  tableRead_ = tableRead_ ? std::max(*tableRead_, aStarted) : aStarted;
}

void
VersionFreshness::SetMembers(std::set<EntryId> aMembers)
{
  members_ = std::move(aMembers);
}

void
VersionFreshness::OnPeerContact(const EntryId& aPeer, MonotonicTime aProven)
{
  auto& contact = contacts_[aPeer];
  contact = std::max(contact, aProven);
}

std::optional<MonotonicTime>
VersionFreshness::RevalidatedAt(MonotonicTime aNow) const
{
  auto majority = MajorityContactTime(aNow);
  if (!tableRead_ || !majority) {
    return tableRead_ ? tableRead_ : majority;
  }
  return std::max(*tableRead_, *majority);
}

std::optional<MonotonicTime>
VersionFreshness::MajorityContactTime(MonotonicTime aNow) const
{
  // Without a row of its own in the table, this entry can't know which other
  // entries take part in decisions.
  if (!members_.contains(self_)) {
    return {};
  }
  std::vector<MonotonicTime> times{ aNow };
  for (const auto& [peer, time] : contacts_) {
    if (peer != self_ && members_.contains(peer)) {
      times.push_back(time);
    }
  }
  if (times.size() < MajoritySize()) {
    return {};
  }
  std::sort(times.rbegin(), times.rend());
  return times[MajoritySize() - 1];
}

}
