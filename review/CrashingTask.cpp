/** A runner crashes right after it has started a task, before its answer. */

#include "review/Checks.h"
#include "review/Deployment.h"

#include <algorithm>

using namespace review;

namespace {
constexpr int kUnavailable = 503;
constexpr int kTooManyRequests = 429;
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ 2, { { "a" }, { "b" } }, false }, record);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  JobOptions job;
  job.id = Deployment::JobId(1);
  job.requiredLabel = "b";
  job.spec = HasTrouble() ? "crash" : "100";
  auto result = deployment.Submit(0, job);
  SleepMs(1000);
  auto runs = deployment.Runs();
  bool hasStarted =
    std::any_of(runs.begin(), runs.end(), [&job](const auto& aRun) {
      return aRun.task.starts_with(job.id);
    });
  bool isRejected =
    result.status == kUnavailable || result.status == kTooManyRequests;
  return Report(hasStarted && isRejected ? 1 : 0, record);
}
