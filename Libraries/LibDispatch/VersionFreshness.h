#ifndef Libraries_LibDispatch_VersionFreshness_h
#define Libraries_LibDispatch_VersionFreshness_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <set>

namespace vanillaworks::dispatch {

/**
 * Tracks when an entry's configuration was last known to be the newest. Two
 * sources revalidate it: a read of the table, and contact with a majority of
 * the member entries. A patch is accepted only after a majority has it, and any
 * two majorities share a member, so one of the contacted members knows the
 * newest version. Not thread safe.
 */
class VersionFreshness
{
public:
  explicit VersionFreshness(EntryId aSelf)
    : self_(std::move(aSelf))
  {
  }

  /** aStarted is when the read that returned the newest version was sent. */
  void OnTableRead(MonotonicTime aStarted);

  bool IsTableReadWithin(Milliseconds aAge, MonotonicTime aNow) const
  {
    return tableRead_ && aNow - *tableRead_ <= aAge;
  }

  /** aMembers: all entries with a row in the table, including this one. */
  void SetMembers(std::set<EntryId> aMembers);

  /** aProven: the latest time when the peer provably had no newer version. */
  void OnPeerContact(const EntryId& aPeer, MonotonicTime aProven);

  /**
   * The latest time when the version was known to be the newest; empty if it
   * never was.
   */
  std::optional<MonotonicTime> RevalidatedAt(MonotonicTime aNow) const;

  /** The number of members in a majority, including this entry. */
  std::size_t MajoritySize() const { return members_.size() / 2 + 1; }
  const std::set<EntryId>& Members() const { return members_; }

private:
  std::optional<MonotonicTime> MajorityContactTime(MonotonicTime aNow) const;

  EntryId self_;
  std::set<EntryId> members_;
  std::optional<MonotonicTime> tableRead_;
  std::map<EntryId, MonotonicTime> contacts_;
};

}

#endif
