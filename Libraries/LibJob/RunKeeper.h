#ifndef Libraries_LibJob_RunKeeper_h
#define Libraries_LibJob_RunKeeper_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/AnswerTimes.h"
#include "LibJob/ControlView.h"
#include "LibJob/Run.h"
#include "LibJob/RunKeeperPort.h"
#include "LibJob/RunnerCondition.h"
#include "LibJob/RunnerReport.h"
#include "LibProtocol/RunOrder.h"
#include "LibProtocol/RunReport.h"
#include "LibProtocol/RunResume.h"
#include "LibProtocol/UpstreamStatus.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace vanillaworks::job {

struct RunKeeperLimits
{
  /**
   * How long runs live after the entry's last word. Shorter than the time
   * after which a caller without an answer asks elsewhere.
   */
  Milliseconds vouch{ 1000 };
  /** The runner's bound on a lease, and how slow its clock may be. */
  Milliseconds lease{ 1000 };
  double clockSlack = 0.02;
  /** How long a look at the runner waits for an end. */
  Milliseconds holdWait{ 50 };
  /** A run without progress for so long stands still. */
  Milliseconds stuckAfter{ 200 };
  /** How long ends are kept for an entry whose link broke. */
  Milliseconds endRetention{ 6000 };
  std::size_t maxQueue = 512;
};

/**
 * The decisions of an agent about its runner: the last gate before a start.
 * It keeps the runner's room, lease and fencing token, a short queue by
 * priority, and follows each run until its end is certain. Not thread safe;
 * time is passed in and all effects go through its port.
 */
class RunKeeper
{
public:
  RunKeeper(UpstreamId aUpstream,
            Incarnation aIncarnation,
            RunKeeperLimits aLimits,
            const ControlView& aControl,
            RunKeeperPort& aPort);

  /** Also one that a former process of the agent kept in the store. */
  void OnRunnerReport(const RunnerReport& aReport, MonotonicTime aNow);
  /** The runner said that it ends. */
  void OnRunnerLeft(const std::string& aRunner, MonotonicTime aNow);

  void OnStartAnswered(const RunKey& aKey,
                       std::uint64_t aToken,
                       StartResult aResult,
                       MonotonicTime aNow);
  void OnStopAnswered(const RunKey& aKey,
                      std::uint64_t aToken,
                      StopResult aResult,
                      MonotonicTime aNow);
  void OnHoldAnswered(std::uint64_t aNumber,
                      const HoldAnswer& aAnswer,
                      MonotonicTime aNow);

  /** aSaidAt: our latest send time that the entry has echoed. */
  void OnVouched(const EntryId& aEntry, MonotonicTime aSaidAt);
  void OnResume(const protocol::RunResume& aResume, MonotonicTime aNow);
  void OnOrder(const EntryId& aEntry,
               const protocol::RunOrder& aOrder,
               MonotonicTime aNow);
  void OnCancel(const EntryId& aEntry,
                const protocol::RunCancel& aCancel,
                MonotonicTime aNow);
  void OnControlChanged(MonotonicTime aNow);
  /** Call about every 50 ms. */
  void OnTick(MonotonicTime aNow);

  /** Graceful stop: gives back what waits; what runs ends. */
  void BeginStop(MonotonicTime aNow);
  bool IsIdle() const { return runs_.empty(); }
  bool HasWorkFor(const EntryId& aEntry) const;
  std::size_t Queued() const { return queue_.size(); }

  /** Figures for one entry. */
  protocol::UpstreamStatus Status(const EntryId& aEntry,
                                  MonotonicTime aNow) const;
  /** Rises when figures that entries decide by have changed. */
  std::uint64_t StatusRevision() const { return statusRevision_; }

private:
  /** The runner's present life. */
  struct Life
  {
    RunnerReport report;
    std::uint64_t token = 0;
    /** The runner's clock, and when it was read. */
    std::int64_t clockMs = 0;
    MonotonicTime clockAt;
    std::uint64_t lastSeen = 0;
    std::uint64_t acknowledged = 0;
    /** It runs nothing that this process does not know of. */
    bool settled = false;
    /** Its latest answer came; without, nothing is started. */
    bool isReachable = true;
    MonotonicTime answeredAt;
    MonotonicTime askAgainAt;
    /** After this all that was started has lapsed. */
    MonotonicTime leaseOver;
  };
  struct PendingHold
  {
    std::uint64_t number;
    MonotonicTime sentAt;
    std::uint64_t token;
    std::uint64_t lastSeen;
    MonotonicTime dueAt;
    /** Asks whether a life that a report tells of is there. */
    bool isProbe;
  };
  struct EntrySession
  {
    MonotonicTime vouchedAt;
    std::uint64_t ordersSeen = 0;
  };
  struct RecentEnd
  {
    protocol::RunEnd end;
    MonotonicTime expires;
  };
  using QueueKey = std::tuple<std::uint32_t, std::uint64_t, RunKey>;

  void Probe(const RunnerReport& aReport, MonotonicTime aNow);
  void OnProbeAnswered(const HoldAnswer& aAnswer, MonotonicTime aNow);
  void BeginLife(const RunnerReport& aReport,
                 const HoldAnswer& aAnswer,
                 std::uint64_t aToken,
                 MonotonicTime aNow);
  /** A call had no answer; after some time nothing new goes there. */
  void OnNoAnswer(MonotonicTime aNow);
  /** The runner can't be reached: nothing new goes there until it can. */
  void LoseTouch(MonotonicTime aNow);
  /** None but these can run any more. */
  void LoseRunsBut(const std::set<RunKey>& aArrived, MonotonicTime aNow);
  /** Not every runner says when it was born: then it is taken for the same. */
  static bool IsOfLife(const HoldAnswer& aAnswer, const RunnerReport& aReport);
  void RaiseToken(std::uint64_t aBy);
  /** Beyond what a former process of ours may have taken. */
  void RaiseTokenFar();
  void TakeHold(const HoldAnswer& aAnswer,
                const PendingHold& aHold,
                MonotonicTime aNow);
  void TakeRunning(const HoldAnswer& aAnswer,
                   const PendingHold& aHold,
                   MonotonicTime aNow);
  void TakeProgress(Run& aRun, int aPercent, MonotonicTime aNow);
  void HoldIfNeeded(MonotonicTime aNow);
  void CallHold(MonotonicTime aNow);
  RunnerTarget Target() const;
  std::int64_t LeaseUntil(MonotonicTime aNow);

  bool MayStart() const;
  /** Whether any run of that task waits or runs here. */
  bool IsLive(const RunKey& aKey) const;
  bool IsVouched(const EntryId& aEntry, MonotonicTime aNow) const;
  /** Runs that take room, or may: all but those in the queue. */
  std::size_t Taken() const { return runs_.size() - queue_.size(); }
  Room Free() const;
  void StartWhatFits(MonotonicTime aNow);
  void Start(Run& aRun, MonotonicTime aNow);
  void CallStart(Run& aRun, MonotonicTime aNow);
  /** No answer came to the start call. */
  void OnStartLost(Run& aRun, MonotonicTime aNow);
  /** The answer says that this call started nothing. */
  void OnStartRefused(Run& aRun,
                      std::uint64_t aToken,
                      StartResult aResult,
                      MonotonicTime aNow);
  /** What of the order waits goes back to its entry. */
  void GiveBack(const protocol::RunOrder& aOrder, MonotonicTime aNow);
  void GiveBackQueue(protocol::RunOutcome aWhy, MonotonicTime aNow);
  void Stop(Run& aRun, protocol::RunOutcome aAs, MonotonicTime aNow);
  void CallStop(Run& aRun);
  /** Of a run that this process did not start. */
  void CallForeignStop(const RunKey& aKey);
  void End(const RunKey& aKey,
           protocol::RunOutcome aOutcome,
           MonotonicTime aNow);
  void FlushReports();
  Milliseconds StartIn(MonotonicTime aNow) const;
  Milliseconds Remaining(const Run& aRun, MonotonicTime aNow) const;

  UpstreamId upstream_;
  Incarnation incarnation_;
  RunKeeperLimits limits_;
  const ControlView& control_;
  RunKeeperPort& port_;
  RunnerCondition condition_;
  /** Of start calls. */
  AnswerTimes answerTimes_;
  std::optional<Life> life_;
  /** The life that is being asked about, and one told of meanwhile. */
  std::optional<RunnerReport> candidate_;
  std::optional<RunnerReport> nextCandidate_;
  int probeFences_ = 0;
  /**
   * Looks that await their answer, by number. A further one is asked for when
   * an answer is overdue, so that a lost one does not hide ends for long.
   */
  std::map<std::uint64_t, PendingHold> holds_;
  /** Answers to earlier ones tell nothing new. */
  std::uint64_t holdTaken_ = 0;
  std::optional<PendingHold> probe_;
  std::uint64_t nextHold_ = 1;
  /** Runs of former processes of ours that are being stopped. */
  std::set<RunKey> foreign_;
  std::map<RunKey, Run> runs_;
  std::set<QueueKey> queue_;
  std::uint64_t arrivals_ = 0;
  std::map<EntryId, EntrySession> sessions_;
  std::map<std::pair<EntryId, RunKey>, RecentEnd> recentEnds_;
  std::map<std::pair<EntryId, SubmissionId>, std::vector<protocol::RunEnd>>
    reports_;
  std::uint64_t statusRevision_ = 1;
  bool stopping_ = false;
  std::int64_t usualCpu_ = 0;
};

}

#endif
