/** A running job is cancelled through another entry than the one it runs at. */

#include "review/Checks.h"
#include "review/Deployment.h"

#include <thread>

using namespace review;

namespace {
/** The bounds of the small deployments. */
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kStopMs = 50;
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ 2, { { "a" }, { "a" } }, false }, record);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  JobOptions job;
  job.id = Deployment::JobId(1);
  job.tasks = 4;
  job.spec = "5000";
  job.estimateMs = 5000;
  job.deadlineMs = 9000;
  std::thread caller([&] { deployment.Submit(0, job); });
  SleepMs(500);
  std::size_t other = HasTrouble() ? 1 : 0;
  auto result = deployment.Call(other, "DELETE", "/q/" + job.id, 1000);
  auto acknowledged = NowMs();
  record.Write("DELETE at entry-" + std::to_string(other + 1) + ": " +
               result.Text());
  bool isAcknowledged = result.status == 200 || result.status == 410;
  caller.join();
  SleepUntilMs(acknowledged + kCancelMs + 2 * kStopMs);
  int breaks = 0;
  for (const auto& run : deployment.Runs()) {
    bool isOfJob = run.task.starts_with(job.id);
    bool runsOn =
      run.endedMs == 0 || run.endedMs > acknowledged + kCancelMs + kStopMs;
    breaks += isAcknowledged && isOfJob && runsOn ? 1 : 0;
  }
  return Report(breaks, record);
}
