#include "Tests/Soak/SoakRound.h"

#include "Tests/System/ClientCrowd.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace vanillaworks::system {

namespace {
using namespace std::chrono_literals;

/** Time after closing a domain or draining a worker until starts cease. */
constexpr auto kStopStartsBound = 3s;
/** Time after the last fault until an entry has to serve again. */
constexpr auto kRecoveryBound = 3s;
/** Time until the load balancer avoids an entry that is not ready. */
constexpr auto kBalancerReactionTime = 2s;
constexpr int kExitTimeoutSeconds = 8;
constexpr std::size_t kMaxResidentMegabytes = 128;
constexpr std::size_t kMaxOpenDescriptors = 512;
constexpr std::size_t kTasksPerJob = 4;
constexpr std::uint64_t kCallerCount = 8;
/** A task still runs when its caller sends its job to another entry. */
constexpr int kLongTaskMilliseconds = 2600;
/** Capacity of a worker in thousandths of a core. */
constexpr std::int64_t kFullCapacity = 8000;
/**
 * Every second caller leaves after this time, as callers with a short deadline
 * do, and sends its job to another entry.
 */
constexpr Milliseconds kShortTimeout{ 1500 };
/** Time that a job has where its caller names no deadline. */
constexpr Milliseconds kJobTimeout{ 6000 };
constexpr std::size_t kPipeliningClients = 8;
constexpr std::size_t kBytesPerPipeliningClient = std::size_t{ 4 } << 20U;
constexpr long kOk = 200;
constexpr long kUnavailable = 503;

std::int64_t
Now()
{
  return PlatformDeployment::NowMicroseconds();
}
}

SoakRound::SoakRound(std::uint64_t aSeed, int aSeconds)
  : random_(aSeed)
  , seconds_(aSeconds)
  , deployment_({ kEntryCount,
                  kWorkerCount,
                  { "pier-end", "promenade", "harbour" },
                  true,
                  kJobTimeout,
                  aSeed % 2 == 1 })
{
}

std::vector<std::string>
SoakRound::Run()
{
  if (!deployment_.WaitUntilReady()) {
    return { "the deployment did not become ready in time" };
  }
  for (std::uint64_t i = 0; i < kCallerCount; ++i) {
    callers_.emplace_back([this, i] { RunCaller(i); });
  }
  auto until = Now() + seconds_ * 1'000'000LL;
  while (Now() < until) {
    InjectFault();
    SleepRandomly(100, 900);
  }
  Recover();
  isStopping_ = true;
  for (auto& caller : callers_) {
    caller.join();
  }
  CheckRecovery();
  auto runs = deployment_.RunRecords();
  for (const auto& violations :
       { CheckRuns(runs),
         CheckNoStartIntervals(runs, noStartIntervals_),
         CheckCrashingTasks(runs),
         CheckAnswers(runs, callerRecords_) }) {
    violations_.insert(violations_.end(), violations.begin(), violations.end());
  }
  int served = 0;
  int refused = 0;
  for (const auto& caller : callerRecords_) {
    served += caller.answer.status == kOk ? 1 : 0;
    refused += caller.answer.status == kUnavailable ? 1 : 0;
  }
  if (served == 0) {
    ReportViolation("no job was answered with status 200");
  }
  fmt::print("{} jobs, {} served, {} refused, {} graceful stops, {} losses of "
             "an entry and an agent, {} crashing jobs\n",
             callerRecords_.size(),
             served,
             refused,
             gracefulStopCount_,
             pairedLossCount_,
             crashingJobCount_);
  return violations_;
}

std::size_t
SoakRound::PickNumber(std::size_t aMin, std::size_t aMax)
{
  return std::uniform_int_distribution<std::size_t>(aMin, aMax)(random_);
}

void
SoakRound::SleepRandomly(std::size_t aMinMs, std::size_t aMaxMs)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds(PickNumber(aMinMs, aMaxMs)));
}

void
SoakRound::ReportViolation(std::string aViolation)
{
  std::scoped_lock lock(mutex_);
  violations_.push_back(std::move(aViolation));
}

void
SoakRound::RunCaller(std::uint64_t aCaller)
{
  for (std::uint64_t i = 1; !isStopping_; ++i) {
    auto id = PlatformDeployment::JobId((aCaller + 1) << 32U | i);
    auto taskMilliseconds =
      40 + static_cast<int>((aCaller * 131 + i * 37) % 600);
    auto entry = (aCaller + i) % kEntryCount;
    if (entry == avoidedEntry_) {
      entry = (entry + 1) % kEntryCount;
    }
    int gracefulStop = gracefulStop_;
    bool leavesEarly = aCaller % 2 == 1;
    auto answer = SubmitAndRecord(
      entry,
      id,
      taskMilliseconds,
      leavesEarly ? kShortTimeout : PlatformDeployment::kCallTimeout);
    bool wasStoppedGracefully =
      gracefulStop != 0 && gracefulStop == gracefulStop_;
    if (wasStoppedGracefully && answer.wasResponseLost && !leavesEarly) {
      ReportViolation("a graceful stop of an entry lost the response to job " +
                      id);
    }
    std::this_thread::sleep_for(20ms);
  }
}

CallerAnswer
SoakRound::SubmitAndRecord(std::size_t aEntry,
                           const std::string& aId,
                           int aTaskMilliseconds,
                           Milliseconds aTimeout)
{
  auto answer = deployment_.SubmitWithRetries(
    aEntry, aId, kTasksPerJob, aTaskMilliseconds, aTimeout);
  std::scoped_lock lock(mutex_);
  callerRecords_.push_back({ aId, kTasksPerJob, answer });
  return answer;
}

void
SoakRound::InjectFault()
{
  switch (PickNumber(0, 18)) {
    case 0: {
      auto entry = PickEntry();
      deployment_.Entry(entry).Kill();
      deployment_.StartEntry(entry);
      return;
    }
    case 1: {
      auto worker = PickWorker();
      deployment_.Agent(worker).Kill();
      deployment_.StartAgent(worker);
      return;
    }
    case 2:
      return InjectProcessFault(deployment_.Entry(PickEntry()));
    case 3:
      return InjectProcessFault(deployment_.Agent(PickWorker()));
    case 4:
    case 5:
      return InjectRunnerFault();
    case 6:
      return InjectStoreFault();
    case 7:
    case 8:
    case 9:
      return InjectNetworkFault();
    case 10:
      return CloseDomainTemporarily();
    case 11:
      return DrainWorkerTemporarily();
    case 12:
    case 13:
      return LoseEntryAndFreezeAgent();
    case 14:
      return SubmitCrashingJob();
    case 15:
    case 16:
      return ChangeCapacity();
    case 17:
      return SendWithoutReading();
    default:
      return StopEntryGracefully();
  }
}

void
SoakRound::SendWithoutReading()
{
  ClientCrowd crowd({ deployment_.FrontAddress(PickEntry()),
                      kPipeliningClients,
                      "GET /no/such/route HTTP/1.1\r\nHost: nobody\r\n\r\n",
                      kBytesPerPipeliningClient });
}

void
SoakRound::InjectProcessFault(Process& aProcess)
{
  if (PickNumber(0, 3) == 0) {
    aProcess.Signal(SIGHUP);
    return;
  }
  aProcess.Signal(SIGSTOP);
  SleepRandomly(200, 4200);
  aProcess.Signal(SIGCONT);
}

void
SoakRound::InjectRunnerFault()
{
  constexpr const char* kModes[] = { "silent",   "failing", "losing",
                                     "crashing", "leaving", "leaving_unheard",
                                     "up",       "up" };
  deployment_.ControlRunner(PickWorker(), kModes[PickNumber(0, 7)]);
}

void
SoakRound::InjectStoreFault()
{
  constexpr const char* kModes[] = { "down", "silent", "forgetful", "up" };
  deployment_.ControlStore(kModes[PickNumber(0, 3)]);
}

void
SoakRound::InjectNetworkFault()
{
  constexpr const char* kModes[] = { "cut", "silence", "one_way", "pass" };
  const auto* mode = kModes[PickNumber(0, 3)];
  if (PickNumber(0, 2) == 0) {
    deployment_.ControlStoreRelay(mode);
  } else {
    deployment_.ControlEntryRelay(PickEntry(), mode);
  }
}

void
SoakRound::LoseEntryAndFreezeAgent()
{
  constexpr std::uint64_t kLongJobs = 2;
  constexpr std::uint64_t kFirstLongJob = 98ULL << 32U;
  auto entry = PickEntry();
  auto firstJob = kFirstLongJob + kLongJobs * pairedLossCount_++;
  for (std::uint64_t i = 0; i < kLongJobs; ++i) {
    auto id = PlatformDeployment::JobId(firstJob + i);
    callers_.emplace_back([this, entry, id] {
      SubmitAndRecord(
        entry, id, kLongTaskMilliseconds, PlatformDeployment::kCallTimeout);
    });
  }
  SleepRandomly(100, 400);
  deployment_.Entry(entry).Kill();
  SleepRandomly(500, 1000);
  auto& agent = deployment_.Agent(PickWorker());
  agent.Signal(SIGSTOP);
  SleepRandomly(2500, 4000);
  agent.Signal(SIGCONT);
  deployment_.StartEntry(entry);
}

void
SoakRound::SubmitCrashingJob()
{
  constexpr std::uint64_t kFirstCrashingJob = 97ULL << 32U;
  constexpr int kTaskMilliseconds = 300;
  auto id = PlatformDeployment::JobId(kFirstCrashingJob + crashingJobCount_++);
  deployment_.CrashRunnersUnder(id, 0);
  auto entry = PickEntry();
  callers_.emplace_back([this, entry, id] {
    SubmitAndRecord(
      entry, id, kTaskMilliseconds, PlatformDeployment::kCallTimeout);
  });
}

void
SoakRound::ChangeCapacity()
{
  constexpr std::int64_t kCapacities[] = { 1000, 3000, kFullCapacity };
  deployment_.SetCapacity(PickWorker(), kCapacities[PickNumber(0, 2)]);
}

void
SoakRound::CloseDomainTemporarily()
{
  Recover();
  deployment_.CloseDomain("harbour");
  std::this_thread::sleep_for(kStopStartsBound);
  auto since = Now();
  std::this_thread::sleep_for(1s);
  noStartIntervals_.push_back({ "harbour", since, Now() });
  deployment_.OpenDomain("harbour");
}

void
SoakRound::DrainWorkerTemporarily()
{
  auto worker = PickWorker();
  Recover();
  deployment_.ControlRunner(worker, "draining");
  std::this_thread::sleep_for(kStopStartsBound);
  auto since = Now();
  std::this_thread::sleep_for(500ms);
  noStartIntervals_.push_back({ "", since, Now(), worker });
  deployment_.ControlRunner(worker, "up");
}

void
SoakRound::StopEntryGracefully()
{
  Recover();
  std::this_thread::sleep_for(kRecoveryBound);
  auto entry = PickEntry();
  auto& process = deployment_.Entry(entry);
  gracefulStop_ = ++gracefulStopCount_;
  process.Signal(SIGTERM);
  std::this_thread::sleep_for(kBalancerReactionTime);
  avoidedEntry_ = entry;
  if (process.WaitForExit(kExitTimeoutSeconds) != 0) {
    ReportViolation(
      fmt::format("entry {} did not exit with status 0 after SIGTERM", entry));
  }
  gracefulStop_ = 0;
  deployment_.StartEntry(entry);
  avoidedEntry_ = kNoEntry;
}

void
SoakRound::Recover()
{
  deployment_.ControlStore("up");
  deployment_.ControlStoreRelay("pass");
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    deployment_.ControlEntryRelay(i, "pass");
  }
  for (std::size_t i = 0; i < kWorkerCount; ++i) {
    deployment_.ControlRunner(i, "up");
    deployment_.SetCapacity(i, kFullCapacity);
  }
}

void
SoakRound::CheckRecovery()
{
  std::this_thread::sleep_for(kRecoveryBound);
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    auto id = PlatformDeployment::JobId((99ULL << 32U) + i);
    if (deployment_.SubmitWithRetries(i, id, kTasksPerJob, 50).status != kOk) {
      ReportViolation(
        fmt::format("entry {} does not serve after all faults ended", i));
    }
    CheckResourceUse(fmt::format("entry {}", i), deployment_.Entry(i));
  }
  for (std::size_t i = 0; i < kWorkerCount; ++i) {
    CheckResourceUse(fmt::format("agent {}", i), deployment_.Agent(i));
  }
}

void
SoakRound::CheckResourceUse(const std::string& aName, const Process& aProcess)
{
  auto folder = std::filesystem::path("/proc") / std::to_string(aProcess.Id());
  std::ifstream status(folder / "status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kPeakResidentLabel = "VmHWM:";
    constexpr std::size_t kKilobytes = 1024;
    std::size_t kilobytes = 0;
    if (line.starts_with(kPeakResidentLabel)) {
      std::istringstream(line.substr(kPeakResidentLabel.size())) >> kilobytes;
    }
    if (kilobytes / kKilobytes > kMaxResidentMegabytes) {
      ReportViolation(fmt::format(
        "{} used {} MB of memory at its peak", aName, kilobytes / kKilobytes));
    }
  }
  std::filesystem::directory_iterator open(folder / "fd");
  auto count = static_cast<std::size_t>(
    std::distance(begin(open), std::filesystem::directory_iterator()));
  if (count > kMaxOpenDescriptors) {
    ReportViolation(fmt::format("{} has {} open descriptors", aName, count));
  }
}

}
