/**
 * The open connections of all processes to the store go silent for good; new
 * ones work. The operator adds a queue one second later.
 */

#include "review/harness/Checks.h"
#include "review/harness/Deployment.h"

using namespace review;

namespace {
/** The bounds of the small deployments. */
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kChangeAfterSilenceMs = 900;
constexpr std::int64_t kAskingEndsMs = 16'000;
constexpr std::int64_t kAskingIntervalMs = 100;
constexpr int kNotFound = 404;
constexpr std::size_t kEntries = 3;
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ kEntries, { { "a" }, { "a" }, { "a" }, { "a" } }, true },
                        record);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  SleepMs(4000);
  auto silenced = NowMs();
  if (HasTrouble()) {
    record.Write("open connections to the store go silent");
    deployment.StoreProxy().SilenceOpenConnections();
  }
  SleepUntilMs(silenced + kChangeAfterSilenceMs);
  deployment.Configure(2, { "/q/", "/new/" });
  auto acknowledged = NowMs();
  // Each process has been in touch for contactMs after the disturbance.
  auto judgedFrom =
    std::max(silenced + kContactMs, acknowledged + kConfigApplyMs) + 50;
  int breaks = 0;
  SleepUntilMs(judgedFrom);
  while (NowMs() < silenced + kAskingEndsMs) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      auto sent = NowMs();
      auto result = deployment.Call(i, "GET", "/new/", 1000);
      bool isOld = result.status == kNotFound;
      breaks += isOld ? 1 : 0;
      record.Write("GET /new/ at entry-" + std::to_string(i + 1) + ", sent " +
                   std::to_string(sent - acknowledged) +
                   " ms after the ack: " + result.Text());
    }
    SleepMs(kAskingIntervalMs);
  }
  return Report(breaks, record);
}
