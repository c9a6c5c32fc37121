/**
 * A zone is evacuated. Later, a liveness report arrives for a runner of that
 * zone in which the field "zone" is missing.
 */

#include "review/Checks.h"
#include "review/Deployment.h"

using namespace review;

namespace {
/** The bound of the small deployments. */
constexpr std::int64_t kEvacuateMs = 5000;
constexpr std::int64_t kReportAfterMs = 6000;
constexpr std::int64_t kJobsEndAfterMs = 9000;
constexpr const char* kZone = "pier-end";
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
  deployment.Evacuate(kZone);
  auto acknowledged = NowMs();
  SleepUntilMs(acknowledged + kReportAfterMs);
  if (HasTrouble()) {
    auto report = deployment.RunnerAt(0).NextReport();
    report.erase("zone");
    record.Write("a report without a zone is sent for runner-1");
    auto result = Send({ deployment.AgentControl(0),
                         "POST",
                         "/Instances.Heartbeat/runner-1",
                         {},
                         report.dump(),
                         1000 });
    record.Write("its answer: " + result.Text());
  }
  for (std::uint64_t number = 1; NowMs() < acknowledged + kJobsEndAfterMs;
       ++number) {
    JobOptions job;
    job.id = Deployment::JobId(number);
    job.tasks = 8;
    job.spec = "60";
    job.estimateMs = 60;
    deployment.Submit(number % 2, job);
  }
  int breaks = 0;
  for (const auto& run : deployment.Runs()) {
    bool isLate =
      run.zone == kZone && run.startedMs > acknowledged + kEvacuateMs;
    breaks += isLate ? 1 : 0;
  }
  return Report(breaks, record);
}
