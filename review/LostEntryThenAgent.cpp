/**
 * An entry is killed while its tasks run, and one of its workers' agents
 * freezes shortly before it would have stopped them.
 */

#include "review/Checks.h"
#include "review/Deployment.h"

#include <csignal>
#include <thread>

using namespace review;

namespace {
constexpr std::int64_t kFreezeAfterKillMs = 850;
constexpr std::int64_t kFreezeMs = 3500;
/** After a broken channel, a job is sent again this much later. */
constexpr std::int64_t kRetransmitMs = 1300;

JobOptions
LongJob()
{
  JobOptions job;
  job.id = Deployment::JobId(1);
  job.tasks = 16;
  job.spec = "3000";
  job.estimateMs = 3000;
  job.deadlineMs = 6000;
  return job;
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
  std::thread caller([&] {
    auto result = deployment.Submit(0, LongJob());
    if (result.end != CallEnd::Answered) {
      SleepMs(kRetransmitMs);
      deployment.Submit(1, LongJob());
    }
  });
  // Short jobs keep the links of the entry busy, as usual traffic does.
  for (int i = 0; i < 25; ++i) {
    JobOptions job;
    job.id = Deployment::JobId(static_cast<std::uint64_t>(100 + i));
    job.tasks = 4;
    job.spec = "10";
    job.estimateMs = 10;
    deployment.Submit(0, job);
  }
  if (HasTrouble()) {
    auto killed = NowMs();
    record.Write("entry-1 is killed");
    deployment.Entry(0).Kill();
    SleepUntilMs(killed + kFreezeAfterKillMs);
    record.Write("agent-1 freezes");
    deployment.Agent(0).Signal(SIGSTOP);
    SleepMs(kFreezeMs);
    record.Write("agent-1 wakes");
    deployment.Agent(0).Signal(SIGCONT);
  }
  caller.join();
  SleepMs(500);
  return Report(CountDoubleRuns(deployment.Runs(), record), record);
}
