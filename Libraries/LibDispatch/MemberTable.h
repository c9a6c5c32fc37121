#ifndef Libraries_LibDispatch_MemberTable_h
#define Libraries_LibDispatch_MemberTable_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibDispatch/EntryIdentity.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::dispatch {

/** An entry's row in the table. */
struct MemberRow
{
  EntryIdentity identity;
  /** Where it takes links, "host:port". */
  std::string address;
  /** The table's version of the row: it changes with each renewal. */
  std::uint64_t rowVersion = 0;
};

/**
 * The entries as the table shows them. A lease lapses by this process's own
 * clock once the row was seen unchanged for the lease's time in successful
 * reads that followed each other closely; no clocks are compared. Not thread
 * safe.
 */
class MemberTable
{
public:
  MemberTable(Milliseconds aLease, Milliseconds aMaxReadGap)
    : lease_(aLease)
    , maxReadGap_(aMaxReadGap)
  {
  }

  /** aNow: when the read that returned the rows was sent. */
  void Observe(const std::vector<MemberRow>& aRows, MonotonicTime aNow);

  /**
   * Whether that life of the entry can be fenced: its row is gone, belongs
   * to a later life, or was not renewed in time.
   */
  bool IsLapsed(const EntryIdentity& aIdentity) const;

  /**
   * Rows that lapsed long ago and may be deleted: only while the others are
   * a majority of all, so that two majorities always share a member.
   */
  std::vector<MemberRow> Forgettable(MonotonicTime aNow) const;
  std::vector<MemberRow> Rows() const;
  std::set<EntryId> Members() const;
  std::vector<std::string> Addresses() const;
  bool HasObserved() const { return observed_; }

private:
  struct Member
  {
    MemberRow row;
    MonotonicTime unchangedSince;
    bool lapsed = false;
  };

  Milliseconds lease_;
  Milliseconds maxReadGap_;
  std::map<EntryId, Member> members_;
  MonotonicTime lastRead_;
  bool observed_ = false;
};

}

#endif
