#ifndef Tests_LibJob_RunSupervisorFixture_h
#define Tests_LibJob_RunSupervisorFixture_h

#include "LibJob/RunSupervisor.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace vanillaworks::tests {

inline const EntryId kEntry("entry-1");
inline const SubmissionId kJob("00000000000000aa");

/** Records the calls of a supervisor; the tests provide the answers. */
struct RunSupervisorFixture : job::RunSupervisorPort
{
  explicit RunSupervisorFixture(std::int64_t aClockMs = 1000)
    : clockMs(aClockMs)
  {
    control.Adopt({ 1, ConfigurationVersion(1), {}, {} });
    Revalidate();
  }

  void CallStart(const job::StartCall& aCall) override
  {
    starts.push_back(aCall);
  }
  void CallStop(const job::StopCall& aCall) override { stops.push_back(aCall); }
  void CallHold(std::uint64_t aNumber, const job::HoldCall& aCall) override
  {
    holds.emplace_back(aNumber, aCall);
  }
  void SendToEntry(const EntryId&, protocol::Message aMessage) override
  {
    if (auto* report = std::get_if<protocol::RunReport>(&aMessage)) {
      for (const auto& end : report->ends) {
        ends.push_back(end.outcome);
      }
    }
  }
  void OnRunEnded(const job::RunEnded& aEvent) override
  {
    events.push_back(aEvent);
  }
  void OnUnexpectedRun(const job::RunKey& aRun) override
  {
    unexpectedRuns.push_back(aRun);
  }
  void SaveReport(const job::RunnerReport& aReport) override
  {
    saved.push_back(aReport);
  }
  void OnRunnerAdopted(const job::RunnerReport&, std::uint64_t aToken) override
  {
    token = aToken;
  }
  void OnReportIgnored(const job::RunnerReport& aReport) override
  {
    ignored.push_back(aReport);
  }
  void OnRunnerReleased(const job::RunnerReleased& aEvent) override
  {
    released.push_back(aEvent);
  }

  job::RunnerReport Report(job::RunnerState aState = job::RunnerState::Ready)
  {
    job::RunnerReport report;
    report.id = "r1";
    report.startedMs = startedMs;
    report.sequence = ++sequence;
    report.service = "tally";
    report.address = "r1";
    report.domain = FailureDomainId("promenade");
    report.capacity = { 2000, 1000, 0 };
    report.state = aState;
    report.clockMs = clockMs;
    return report;
  }
  job::HoldAnswer Answer(std::vector<job::RunningRow> aRunning = {},
                         std::vector<job::FinishedRow> aFinished = {}) const
  {
    return { job::HoldResult::Answered,
             clockMs,
             startedMs,
             std::move(aRunning),
             std::move(aFinished) };
  }
  void AnswerHold(const job::HoldAnswer& aAnswer)
  {
    auto [number, call] = holds.back();
    holds.clear();
    supervisor.OnHoldAnswered(number, aAnswer, now);
  }
  void Adopt()
  {
    supervisor.OnRunnerReport(Report(), now);
    AnswerHold(Answer());
  }
  /** Brings about one run that the runner has confirmed. */
  void StartRun()
  {
    Adopt();
    Order(1);
    supervisor.OnStartAnswered(Key(0), token, job::StartResult::Started, now);
  }
  void Revalidate()
  {
    supervisor.OnResume({ kEntry, Incarnation(1), {} }, now);
    supervisor.OnRevalidated(kEntry, now);
  }
  void Order(std::uint32_t aTasks, std::int64_t aStartWithinMs = 500)
  {
    OrderFor(kJob, aTasks, aStartWithinMs, 0);
  }
  void OrderFor(const SubmissionId& aJob,
                std::uint32_t aTasks,
                std::int64_t aStartWithinMs,
                std::uint32_t aPriority)
  {
    protocol::RunOrder order;
    order.sequence = ++orders;
    order.job = aJob;
    order.priority = aPriority;
    order.cpu = 1000;
    order.estimateMs = 100;
    order.startWithinMs = aStartWithinMs;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      order.tasks.push_back({ i, 1 });
    }
    supervisor.OnOrder(kEntry, order, now);
  }
  /** Orders a task of another job; returns whether it was started. */
  bool StartsNewTask()
  {
    auto before = starts.size();
    OrderFor(SubmissionId("00000000000000bb"), 1, 500, 0);
    return starts.size() > before;
  }
  /** Lets time pass in ticks, after each of which aAfterTick is called. */
  void Pass(Milliseconds aTime, const std::function<void()>& aAfterTick)
  {
    constexpr Milliseconds kTick{ 25 };
    for (auto end = now + aTime; now < end;) {
      AdvanceTime(kTick);
      supervisor.OnRevalidated(kEntry, now);
      supervisor.OnTick(now);
      aAfterTick();
    }
  }
  void AdvanceTime(Milliseconds aTime)
  {
    now += aTime;
    clockMs += aTime.count();
  }
  job::RunKey Key(std::uint32_t aTask) const { return { kJob, { aTask, 1 } }; }

  MonotonicTime now{ std::chrono::hours(1) };
  std::int64_t clockMs;
  std::int64_t startedMs = 1'700'000'000'000;
  std::uint64_t sequence = 0;
  std::uint64_t orders = 0;
  std::uint64_t token = 0;
  std::vector<job::RunnerReport> saved;
  std::vector<job::StartCall> starts;
  std::vector<job::StopCall> stops;
  std::vector<std::pair<std::uint64_t, job::HoldCall>> holds;
  std::vector<protocol::RunOutcome> ends;
  std::vector<job::RunEnded> events;
  std::vector<job::RunKey> unexpectedRuns;
  std::vector<job::RunnerReleased> released;
  std::vector<job::RunnerReport> ignored;
  job::ControlView control;
  job::RunSupervisor supervisor{ UpstreamId("u1"),
                                 Incarnation(1),
                                 job::RunSupervisorLimits{},
                                 control,
                                 *this };
};

}

#endif
