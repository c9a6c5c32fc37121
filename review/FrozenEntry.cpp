/**
 * An entry freezes for 4 s. Callers that get no answer from it close their
 * connections and try another entry. Their old requests still wait in the
 * frozen entry's sockets when it wakes.
 */

#include "review/Checks.h"
#include "review/Deployment.h"

#include <csignal>
#include <thread>
#include <vector>

using namespace review;

namespace {
constexpr std::int64_t kFreezeMs = 4000;
/** After no answer, a job is sent again this much later. */
constexpr std::int64_t kRetransmitMs = 1300;
constexpr int kCallers = 16;
constexpr std::int64_t kFirstCallerAtMs = 1040;
constexpr std::int64_t kCallerIntervalMs = 10;

void
RunCaller(Deployment& aDeployment, int aNumber)
{
  JobOptions job;
  job.id = Deployment::JobId(static_cast<std::uint64_t>(aNumber));
  job.tasks = 1;
  job.spec = "900";
  job.estimateMs = 900;
  auto result = aDeployment.Submit(0, job);
  if (result.end != CallEnd::Answered) {
    SleepMs(kRetransmitMs);
    aDeployment.Submit(1, job);
  }
}
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ 2, { { "a" }, { "a" }, { "a" }, { "a" } }, false },
                        record);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  auto start = NowMs();
  if (HasTrouble()) {
    record.Write("entry-1 freezes");
    deployment.Entry(0).Signal(SIGSTOP);
  }
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    SleepUntilMs(start + kFirstCallerAtMs + i * kCallerIntervalMs);
    callers.emplace_back([&deployment, i] { RunCaller(deployment, i + 1); });
  }
  if (HasTrouble()) {
    SleepUntilMs(start + kFreezeMs);
    record.Write("entry-1 wakes");
    deployment.Entry(0).Signal(SIGCONT);
  }
  for (auto& caller : callers) {
    caller.join();
  }
  SleepMs(1000);
  return Report(CountDoubleRuns(deployment.Runs(), record), record);
}
