#include "review/Cases-2.h"

#include "review/Deployment-2.h"

#include <functional>
#include <map>

namespace vanillaworks::review {

namespace {
/**
 * Two runs of a task that overlap for less than this may be one that is ending
 * while the other begins.
 */
constexpr std::int64_t kMinOverlapMs = 100;

/** Writes each pair of runs of one task that overlap; returns their number. */
std::size_t
CountOverlaps(Record& aRecord)
{
  std::size_t count = 0;
  auto runs = aRecord.Runs();
  auto now = NowMs();
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (runs[i].task != runs[j].task) {
        continue;
      }
      auto endOf = [now](const Run& aRun) {
        return aRun.endedMs == 0 ? now : aRun.endedMs;
      };
      auto overlap = std::min(endOf(runs[i]), endOf(runs[j])) -
                     std::max(runs[i].startedMs, runs[j].startedMs);
      if (overlap < kMinOverlapMs) {
        continue;
      }
      ++count;
      aRecord.Write("TWICE: " + runs[i].task + " ran on " + runs[j].runner +
                    " and on " + runs[i].runner + " at the same time for " +
                    std::to_string(overlap) + " ms");
    }
  }
  return count;
}

/** A runner's message that it leaves is handled, but the answer is lost. */
int
LeaveUnanswered(Record& aRecord, bool aHasTrouble)
{
  constexpr std::int64_t kWorkMs = 3000;
  constexpr std::int64_t kDeadlineMs = 6000;
  constexpr std::int64_t kDrainMs = 2000;
  constexpr std::int64_t kStaysMs = 2000;
  Deployment deployment({ 1, 2, kDeadlineMs }, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job =
    deployment.JobRequest("POST", "5c0e7a21d94b36f8", 8, kWorkMs, kDeadlineMs);
  aRecord.Write("a client sends a job of 8 tasks");
  HttpCall call(deployment.Front(0), job);
  SleepMs(200);
  auto index = deployment.BusiestRunner();
  auto& leaving = deployment.RunnerAt(index);
  bool isDraining = leaving.CountRunning() > 0 && leaving.Drain();
  if (!isDraining) {
    return kCouldNotRun;
  }
  SleepMs(kDrainMs + 200);
  if (aHasTrouble) {
    aRecord.Write("the channel of its message will be reset before the answer");
    deployment.ReportProxy(index).SetMode(ProxyMode::ResetAtAnswer);
  }
  // It ends with the answer, or some seconds later without one.
  if (!leaving.Leave()) {
    SleepMs(kStaysMs);
  }
  deployment.EndRunner(index);
  aRecord.Write("it has ended");
  auto answer = call.Await(kDeadlineMs);
  aRecord.Write("the client is answered " + std::to_string(answer.status) +
                " " + answer.body);
  return CountOverlaps(aRecord) == 0 ? kRuleHeld : kRuleBroken;
}

/** A request of a cancelled job arrives again, seconds after the answer. */
int
RepeatAfterCancel(Record& aRecord, bool aHasTrouble)
{
  constexpr std::int64_t kWorkMs = 900;
  constexpr std::int64_t kDeadlineMs = 1500;
  constexpr std::int64_t kCancelMs = 3000;
  constexpr int kOk = 200;
  Deployment deployment({ 2, 2, kDeadlineMs }, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const std::string id = "5c0e7a21d94b36f8";
  auto job = deployment.JobRequest("POST", id, 4, kWorkMs, kDeadlineMs);
  aRecord.Write("a client sends a job of 4 tasks to entry 1");
  HttpCall call(deployment.Front(1), job);
  SleepMs(200);
  auto cancel = deployment.JobRequest("DELETE", id, 0, 0, 0);
  auto cancelled = Call(deployment.Front(1), cancel, kDeadlineMs);
  auto cancelledAt = NowMs();
  aRecord.Write("DELETE at entry 1 is answered " +
                std::to_string(cancelled.status));
  auto answer = call.Await(kDeadlineMs);
  aRecord.Write("the client is answered " + std::to_string(answer.status) +
                " " + answer.body);
  if (cancelled.status != kOk || answer.status != kOk) {
    return kCouldNotRun;
  }
  SleepMs(kCancelMs + 1000);
  if (aHasTrouble) {
    aRecord.Write("the request arrives again, at entry 0");
    auto repeated = Call(deployment.Front(0), job, kDeadlineMs);
    aRecord.Write("it is answered " + std::to_string(repeated.status) + " " +
                  repeated.body);
  }
  std::size_t count = 0;
  for (const auto& run : aRecord.Runs()) {
    if (run.task.starts_with(id) && run.startedMs > cancelledAt + kCancelMs) {
      ++count;
      aRecord.Write("UNASKED: " + run.task + " starts " +
                    std::to_string(run.startedMs - cancelledAt) +
                    " ms after the cancel was acknowledged");
    }
  }
  return count == 0 ? kRuleHeld : kRuleBroken;
}

/**
 * A runner starts again under its id, as a smaller kind, and leaves the first
 * order unanswered.
 */
int
RebornSmaller(Record& aRecord, bool aHasTrouble)
{
  constexpr std::int64_t kSmallCpu = 16'000;
  constexpr std::int64_t kWorkMs = 200;
  constexpr std::int64_t kDeadlineMs = 1500;
  constexpr std::int64_t kDownMs = 500;
  Deployment deployment({ 1, 1, kDeadlineMs }, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  SleepMs(1000);
  aRecord.Write("runner-0 crashes while it runs nothing");
  deployment.EndRunner(0);
  SleepMs(kDownMs);
  aRecord.Write("runner-0 starts again under its id, with 16 cores");
  RunnerOptions next;
  next.cpu = kSmallCpu;
  next.lateHolds = aHasTrouble ? 1 : 0;
  deployment.StartRunner(0, next);
  SleepMs(150);
  for (int i = 0; i < 3; ++i) {
    auto id = "5c0e7a21d94b36f" + std::to_string(i);
    auto job = deployment.JobRequest("POST", id, 8, kWorkMs, kDeadlineMs);
    aRecord.Write("a client sends a job of 8 tasks");
    auto answer = Call(deployment.Front(0), job, kDeadlineMs);
    aRecord.Write("it is answered " + std::to_string(answer.status) + " " +
                  answer.body);
  }
  return deployment.RunnerAt(0).WentOver() ? kRuleBroken : kRuleHeld;
}

/** A runner of a service that the operators don't name reports to an agent. */
int
ForeignService(Record& aRecord, bool aHasTrouble)
{
  constexpr std::int64_t kWorkMs = 900;
  constexpr std::int64_t kDeadlineMs = 1500;
  Deployment deployment({ 1, 2, kDeadlineMs }, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job =
    deployment.JobRequest("POST", "5c0e7a21d94b36f8", 8, kWorkMs, kDeadlineMs);
  aRecord.Write("a client sends a job of 8 tasks");
  HttpCall call(deployment.Front(0), job);
  SleepMs(150);
  if (aHasTrouble) {
    auto index = deployment.BusiestRunner();
    aRecord.Write("a runner of a service that isn't named reports to agent " +
                  std::to_string(index));
    deployment.StartForeignRunner(index);
  }
  auto answer = call.Await(kDeadlineMs);
  aRecord.Write("the client is answered " + std::to_string(answer.status) +
                " " + answer.body);
  SleepMs(500);
  return CountOverlaps(aRecord) == 0 ? kRuleHeld : kRuleBroken;
}

/** The runner that a run of the job has ended on; nothing if there is none. */
std::optional<std::size_t>
RunnerOfEndedRun(const Record& aRecord, const std::string& aJob)
{
  for (const auto& run : aRecord.Runs()) {
    if (run.task.starts_with(aJob) && run.endedMs != 0) {
      return std::stoul(run.runner.substr(run.runner.find('-') + 1));
    }
  }
  return {};
}

/**
 * A start that got no answer is carried out by the runner's next life under the
 * same id, which leaves its agent's first call unanswered too.
 */
int
LateStartInNextLife(Record& aRecord, bool aHasTrouble)
{
  constexpr std::int64_t kWorkMs = 3000;
  constexpr std::int64_t kDeadlineMs = 6000;
  constexpr std::int64_t kDownMs = 1300;
  const std::string id = "5c0e7a21d94b36f8";
  Deployment deployment({ 1, 2, kDeadlineMs }, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  {
    auto& trouble = deployment.RunnersTrouble();
    std::scoped_lock lock(trouble.mutex);
    trouble.failures = 1;
    trouble.unansweredStarts = aHasTrouble ? 1 : 0;
  }
  auto job = deployment.JobRequest("POST", id, 1, kWorkMs, kDeadlineMs);
  aRecord.Write("a client sends a job of 1 task");
  HttpCall call(deployment.Front(0), job);
  SleepMs(300);
  auto index = RunnerOfEndedRun(aRecord, id);
  if (!index) {
    return kCouldNotRun;
  }
  SleepMs(400);
  aRecord.Write("the runner of the failed run crashes");
  deployment.EndRunner(*index);
  SleepMs(kDownMs);
  aRecord.Write("it starts again under its id");
  RunnerOptions next;
  next.lateHolds = aHasTrouble ? 1 : 0;
  next.carriesOutAfterMs = 200;
  deployment.StartRunner(*index, next);
  auto answer = call.Await(kDeadlineMs);
  aRecord.Write("the client is answered " + std::to_string(answer.status) +
                " " + answer.body);
  return CountOverlaps(aRecord) == 0 ? kRuleHeld : kRuleBroken;
}
}

int
PlayCase(const std::string& aName, const std::string& aFolder, bool aHasTrouble)
{
  using Case = std::function<int(Record&, bool)>;
  const std::map<std::string, Case> cases{
    { "leave-unanswered", &LeaveUnanswered },
    { "repeat-after-cancel", &RepeatAfterCancel },
    { "reborn-smaller", &RebornSmaller },
    { "foreign-service", &ForeignService },
    { "late-start-in-next-life", &LateStartInNextLife }
  };
  auto found = cases.find(aName);
  if (found == cases.end()) {
    return kCouldNotRun;
  }
  Record record(aFolder + "/record.txt");
  auto result = found->second(record, aHasTrouble);
  record.Write(result == kRuleHeld     ? "the rule held"
               : result == kRuleBroken ? "the rule was broken"
                                       : "the case could not run");
  return result;
}

}
