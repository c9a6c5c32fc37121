#ifndef Libraries_LibDispatch_MembershipView_h
#define Libraries_LibDispatch_MembershipView_h

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
  /** The address where the entry accepts links, "host:port". */
  std::string address;
  /** The version of the row in the table; each renewal changes it. */
  std::uint64_t rowVersion = 0;
};

/**
 * The entries' rows as last read from the table. A lease lapses by this
 * process's own clock once its row has stayed unchanged for the lease time
 * across successful reads that are at most the maximum read gap apart. Clocks
 * of different hosts are never compared. Not thread safe.
 */
class MembershipView
{
public:
  MembershipView(Milliseconds aLease, Milliseconds aMaxReadGap)
    : lease_(aLease)
    , maxReadGap_(aMaxReadGap)
  {
  }

  /** Updates the view. aNow is when the read of the rows was sent. */
  void Observe(const std::vector<MemberRow>& aRows, MonotonicTime aNow);

  /**
   * Whether that incarnation of the entry can be fenced: its row is missing,
   * belongs to a later incarnation, or was not renewed in time. False before
   * the first read.
   */
  bool IsLapsed(const EntryIdentity& aIdentity) const;

  /**
   * Lapsed rows, unchanged for more than 30 s, that may be deleted. The result
   * is empty unless the live entries are a majority of all rows, so that the
   * majorities before and after a deletion always share a member.
   */
  std::vector<MemberRow> RemovableRows(MonotonicTime aNow) const;
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
