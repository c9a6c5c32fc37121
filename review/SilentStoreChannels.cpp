/**
 * The open connections of all processes to the store go silent for good; new
 * ones work. Shortly after, the operator drops a queue.
 */

#include "review/Checks.h"
#include "review/Deployment.h"

#include <algorithm>

using namespace review;

namespace {
/** The bounds of the small deployments. */
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kSettleMs = 4000;
constexpr std::int64_t kChangeAfterSilenceMs = 900;
constexpr std::int64_t kSubmittingEndsMs = 12'000;
constexpr std::int64_t kIntervalMs = 100;
constexpr int kOk = 200;
constexpr std::size_t kEntries = 3;
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  DeploymentOptions options;
  options.entries = kEntries;
  options.runners = { { "a" }, { "a" }, { "a" }, { "a" } };
  options.hasStoreProxy = true;
  Deployment deployment(options, record);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  SleepMs(kSettleMs);
  auto silenced = NowMs();
  if (HasTrouble()) {
    record.Write("open connections to the store go silent");
    deployment.StoreProxy().SilenceOpenConnections();
  }
  SleepUntilMs(silenced + kChangeAfterSilenceMs);
  deployment.Configure(2, { "/other/" });
  auto acknowledged = NowMs();
  // By then, all machines have been calm for contactMs.
  auto judgedFrom =
    std::max(silenced + kContactMs, acknowledged + kConfigApplyMs) + 50;
  SleepUntilMs(judgedFrom);
  int breaks = 0;
  for (std::uint64_t number = 1; NowMs() < silenced + kSubmittingEndsMs;
       ++number) {
    JobOptions job;
    job.id = Deployment::JobId(number);
    job.spec = "20";
    job.estimateMs = 20;
    auto sent = NowMs();
    auto result = deployment.Submit(number % kEntries, job);
    if (result.status == kOk) {
      ++breaks;
      record.Write("sent " + std::to_string(sent - acknowledged) +
                   " ms after the ack of the version without its queue, " +
                   "and run");
    }
    SleepMs(kIntervalMs);
  }
  return Report(breaks, record);
}
