#ifndef Libraries_LibJob_RunSupervisorPort_h
#define Libraries_LibJob_RunSupervisorPort_h

#include "LibCore/Ids.h"
#include "LibJob/RunEvent.h"
#include "LibJob/RunnerCalls.h"
#include "LibJob/RunnerReleased.h"
#include "LibJob/RunnerReport.h"
#include "LibProtocol/Message.h"

namespace vanillaworks::job {

/**
 * Effects of a RunSupervisor. All functions are called on its thread. Each call
 * to the runner is answered exactly once through the supervisor's
 * On...Answered(), never before the call returns.
 */
class RunSupervisorPort
{
public:
  virtual ~RunSupervisorPort() = default;

  virtual void CallStart(const StartCall& aCall) = 0;
  virtual void CallStop(const StopCall& aCall) = 0;
  /** aNumber identifies the call in its answer. */
  virtual void CallHold(std::uint64_t aNumber, const HoldCall& aCall) = 0;
  virtual void SendToEntry(const EntryId& aEntry,
                           protocol::Message aMessage) = 0;
  /** For logs and metrics only. */
  virtual void OnRunEnded(const RunEnded& aEvent) = 0;
  /** For logs and metrics only: the runner lists a run that is not awaited. */
  virtual void OnUnexpectedRun(const RunKey& aRun) = 0;
  /** Saves the report for later processes of the agent; best effort. */
  virtual void SaveReport(const RunnerReport& aReport) = 0;
  /** For logs only: the report names no runner that is to be used. */
  virtual void OnReportIgnored(const RunnerReport& aReport) = 0;
  /** For logs only: this incarnation of the runner is served from now on. */
  virtual void OnRunnerAdopted(const RunnerReport& aReport,
                               std::uint64_t aToken) = 0;
  /** The announcements that wait for it may be answered. */
  virtual void OnRunnerReleased(const RunnerReleased& aEvent) = 0;
};

}

#endif
