#ifndef Libraries_LibDispatch_VersionFreshness_h
#define Libraries_LibDispatch_VersionFreshness_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <set>

namespace vanillaworks::dispatch {

/**
 * How long ago an entry knew that its configuration was the newest. Two
 * sources vouch for it: a read of the table, and contact with a majority of
 * the member entries. A patch is accepted only after a majority has it, so
 * any two majorities share a member that knows the newest version. Not thread
 * safe.
 */
class VersionFreshness
{
public:
  explicit VersionFreshness(EntryId aSelf)
    : self_(std::move(aSelf))
  {
  }

  /** aStarted: when the read that returned the newest version was sent. */
  void OnTableRead(MonotonicTime aStarted);

  bool IsTableReadWithin(Milliseconds aAge, MonotonicTime aNow) const
  {
    return tableRead_ && aNow - *tableRead_ <= aAge;
  }

  /** aMembers: all entries with a row in the table, this one included. */
  void SetMembers(std::set<EntryId> aMembers);

  /** aProven: a time after which the peer surely had no newer version. */
  void OnPeerContact(const EntryId& aPeer, MonotonicTime aProven);

  /** The latest time for which the version is vouched; nothing if never. */
  std::optional<MonotonicTime> VouchedAt(MonotonicTime aNow) const;

  /** Members, this one included, that a majority takes. */
  std::size_t MajoritySize() const { return members_.size() / 2 + 1; }
  const std::set<EntryId>& Members() const { return members_; }

private:
  std::optional<MonotonicTime> MajorityContact(MonotonicTime aNow) const;

  EntryId self_;
  std::set<EntryId> members_;
  std::optional<MonotonicTime> tableRead_;
  std::map<EntryId, MonotonicTime> contacts_;
};

}

#endif
