#include "Tests/Soak/SoakRound.h"

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

constexpr auto kStopBound = 3s;
/** After the last fault, until an entry has to serve again. */
constexpr auto kRecovery = 3s;
constexpr auto kBalancerMisses = 2s;
constexpr int kGraceSeconds = 8;
constexpr std::size_t kMostMegabytes = 128;
constexpr std::size_t kMostDescriptors = 512;
constexpr std::size_t kTasks = 4;
constexpr std::uint64_t kCallers = 6;
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
  , deployment_(
      { kEntries, kWorkers, { "pier-end", "promenade", "harbour" }, true })
{
}

std::vector<std::string>
SoakRound::Play()
{
  if (!deployment_.WaitUntilReady()) {
    return { "the deployment did not come up" };
  }
  std::vector<std::thread> callers;
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i] { CallOften(i); });
  }
  auto until = Now() + seconds_ * 1'000'000LL;
  while (Now() < until) {
    Fault();
    Wait(100, 900);
  }
  Mend();
  stop_ = true;
  for (auto& caller : callers) {
    caller.join();
  }
  JudgeReturn();
  auto runs = deployment_.Records();
  for (const auto& broken : { JudgeRuns(runs),
                              JudgeQuiet(runs, quiet_),
                              JudgeAnswers(runs, callers_) }) {
    found_.insert(found_.end(), broken.begin(), broken.end());
  }
  int served = 0;
  int refused = 0;
  for (const auto& caller : callers_) {
    served += caller.answer.status == kOk ? 1 : 0;
    refused += caller.answer.status == kUnavailable ? 1 : 0;
  }
  if (served == 0) {
    Find("nothing was served");
  }
  fmt::print("{} jobs, {} served, {} refused, {} graceful stops\n",
             callers_.size(),
             served,
             refused,
             calmStops_);
  return found_;
}

std::size_t
SoakRound::Pick(std::size_t aLeast, std::size_t aMost)
{
  return std::uniform_int_distribution<std::size_t>(aLeast, aMost)(random_);
}

void
SoakRound::Wait(std::size_t aLeastMs, std::size_t aMostMs)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds(Pick(aLeastMs, aMostMs)));
}

void
SoakRound::Find(std::string aWhat)
{
  std::scoped_lock lock(mutex_);
  found_.push_back(std::move(aWhat));
}

void
SoakRound::CallOften(std::uint64_t aCaller)
{
  for (std::uint64_t i = 1; !stop_; ++i) {
    auto id = PlatformDeployment::JobId((aCaller + 1) << 32U | i);
    auto work = 40 + static_cast<int>((aCaller * 131 + i * 37) % 600);
    auto entry = (aCaller + i) % kEntries;
    if (entry == avoided_) {
      entry = (entry + 1) % kEntries;
    }
    int calm = calmStop_;
    auto answer = deployment_.SubmitUntilAnswered(entry, id, kTasks, work);
    if (calm != 0 && calm == calmStop_ && answer.wasCutOff) {
      Find("a planned stop cut off a request: " + id);
    }
    std::unique_lock lock(mutex_);
    callers_.push_back({ id, kTasks, std::move(answer) });
    lock.unlock();
    std::this_thread::sleep_for(20ms);
  }
}

void
SoakRound::Fault()
{
  switch (Pick(0, 12)) {
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
      return FaultProcess(deployment_.Entry(PickEntry()));
    case 3:
      return FaultProcess(deployment_.Agent(PickWorker()));
    case 4:
    case 5:
      return FaultRunner();
    case 6:
      return FaultStore();
    case 7:
    case 8:
    case 9:
      return FaultPath();
    case 10:
      return CloseDomainForAWhile();
    case 11:
      return DrainForAWhile();
    default:
      return StopEntryGracefully();
  }
}

void
SoakRound::FaultProcess(Process& aProcess)
{
  if (Pick(0, 3) == 0) {
    aProcess.Signal(SIGHUP);
    return;
  }
  aProcess.Signal(SIGSTOP);
  Wait(200, 2500);
  aProcess.Signal(SIGCONT);
}

void
SoakRound::FaultRunner()
{
  constexpr const char* kModes[] = { "silent",   "failing", "losing",
                                     "crashing", "up",      "up" };
  deployment_.ControlRunner(PickWorker(), kModes[Pick(0, 5)]);
}

void
SoakRound::FaultStore()
{
  constexpr const char* kModes[] = { "down", "silent", "forgetful", "up" };
  deployment_.ControlStore(kModes[Pick(0, 3)]);
}

void
SoakRound::FaultPath()
{
  constexpr const char* kModes[] = { "cut", "silence", "one_way", "pass" };
  const auto* mode = kModes[Pick(0, 3)];
  if (Pick(0, 2) == 0) {
    deployment_.ControlStoreRelay(mode);
  } else {
    deployment_.ControlEntryRelay(PickEntry(), mode);
  }
}

void
SoakRound::CloseDomainForAWhile()
{
  Mend();
  deployment_.CloseDomain("harbour");
  std::this_thread::sleep_for(kStopBound);
  auto since = Now();
  std::this_thread::sleep_for(1s);
  quiet_.push_back({ "harbour", since, Now() });
  deployment_.OpenDomain("harbour");
}

void
SoakRound::DrainForAWhile()
{
  auto worker = PickWorker();
  Mend();
  deployment_.ControlRunner(worker, "draining");
  std::this_thread::sleep_for(kStopBound);
  auto since = Now();
  std::this_thread::sleep_for(500ms);
  quiet_.push_back({ "", since, Now(), worker });
  deployment_.ControlRunner(worker, "up");
}

void
SoakRound::StopEntryGracefully()
{
  Mend();
  std::this_thread::sleep_for(kRecovery);
  auto entry = PickEntry();
  auto& process = deployment_.Entry(entry);
  calmStop_ = ++calmStops_;
  process.Signal(SIGTERM);
  std::this_thread::sleep_for(kBalancerMisses);
  avoided_ = entry;
  if (process.WaitForExit(kGraceSeconds) != 0) {
    Find(fmt::format("entry {} did not end by itself", entry));
  }
  calmStop_ = 0;
  deployment_.StartEntry(entry);
  avoided_ = kNoEntry;
}

void
SoakRound::Mend()
{
  deployment_.ControlStore("up");
  deployment_.ControlStoreRelay("pass");
  for (std::size_t i = 0; i < kEntries; ++i) {
    deployment_.ControlEntryRelay(i, "pass");
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    deployment_.ControlRunner(i, "up");
  }
}

void
SoakRound::JudgeReturn()
{
  std::this_thread::sleep_for(kRecovery);
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto id = PlatformDeployment::JobId((99ULL << 32U) + i);
    if (deployment_.SubmitUntilAnswered(i, id, kTasks, 50).status != kOk) {
      Find(fmt::format("entry {} does not serve again", i));
    }
    JudgeSize(fmt::format("entry {}", i), deployment_.Entry(i));
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    JudgeSize(fmt::format("agent {}", i), deployment_.Agent(i));
  }
}

void
SoakRound::JudgeSize(const std::string& aName, const Process& aProcess)
{
  auto folder = std::filesystem::path("/proc") / std::to_string(aProcess.Id());
  std::ifstream status(folder / "status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kPeak = "VmHWM:";
    constexpr std::size_t kKilobytes = 1024;
    std::size_t kilobytes = 0;
    if (line.starts_with(kPeak)) {
      std::istringstream(line.substr(kPeak.size())) >> kilobytes;
    }
    if (kilobytes / kKilobytes > kMostMegabytes) {
      Find(fmt::format("{} took {} MB", aName, kilobytes / kKilobytes));
    }
  }
  std::filesystem::directory_iterator open(folder / "fd");
  auto count = static_cast<std::size_t>(
    std::distance(begin(open), std::filesystem::directory_iterator()));
  if (count > kMostDescriptors) {
    Find(fmt::format("{} holds {} descriptors", aName, count));
  }
}

}
