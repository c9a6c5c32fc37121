#ifndef Libraries_LibJob_UpstreamView_h
#define Libraries_LibJob_UpstreamView_h

#include "LibCore/Time.h"
#include "LibJob/Room.h"
#include "LibProtocol/RunTask.h"
#include "LibProtocol/UpstreamStatus.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace vanillaworks::job {

/**
 * What an entry knows of one upstream: the agent's latest figures, less the
 * orders that these don't include yet. Not thread safe.
 */
class UpstreamView
{
public:
  void OnLinked(MonotonicTime aNow);
  void OnUnlinked() { linked_ = false; }
  void OnStatus(protocol::UpstreamStatus aStatus, MonotonicTime aNow);
  void OnHeard(MonotonicTime aNow) { heardAt_ = aNow; }

  /** Notes a task that is on its way. */
  void OnOrdered(const Room& aRoom, Milliseconds aEstimate);
  /** The latest tasks were not sent after all. */
  void TakeBack(std::size_t aTasks);
  /** Counts the tasks ordered on this link. */
  std::uint64_t LastSequence() const { return lastSequence_; }

  bool IsLinked() const { return linked_; }
  MonotonicTime HeardAt() const { return heardAt_; }
  /** Takes orders and was heard of lately. */
  bool IsUsable(MonotonicTime aNow) const;
  const protocol::UpstreamStatus& Status() const { return status_; }

  Room Free() const;
  /** Until a task that needs aRoom could start. */
  Milliseconds StartIn(const Room& aRoom) const;
  /** What a run takes here where it takes aEstimate elsewhere. */
  Milliseconds RunTime(Milliseconds aEstimate) const;
  bool CouldEverHold(const Room& aRoom) const;

  /** Runs that this entry ordered here and whose end it awaits. */
  using Awaited = std::map<SubmissionId, std::set<protocol::RunTask>>;
  Awaited& Outstanding() { return outstanding_; }
  const Awaited& Outstanding() const { return outstanding_; }
  void Forget(const SubmissionId& aJob, const protocol::RunTask& aTask);

private:
  struct Unseen
  {
    std::uint64_t sequence;
    Room room;
    /** Processor time that it will take, thousandths of a core x ms. */
    std::int64_t work;
  };

  protocol::UpstreamStatus status_;
  bool linked_ = false;
  MonotonicTime heardAt_;
  std::uint64_t lastSequence_ = 0;
  std::deque<Unseen> unseen_;
  Awaited outstanding_;
};

}

#endif
