#include "Deployment-3.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {
constexpr int kFrontPort = 8161;
constexpr int kReadinessPort = 8167;
constexpr int kLinkPort = 7720;
constexpr int kControlPort = 8166;
constexpr int kMetricsPort = 9464;
constexpr int kRunnerPort = 8165;
constexpr int kStorePort = 8169;
constexpr int kClaimPort = 7999;
constexpr std::size_t kClaimHost = 254;
constexpr std::size_t kStoreHost = 10;
constexpr std::size_t kFirstEntryHost = 11;
constexpr std::size_t kCutHost = 41;
constexpr std::size_t kFirstAgentHost = 61;
constexpr int kFirstVersion = 3;
constexpr int kSecondVersion = 7;
constexpr int kFirstSubnet = 1;
constexpr int kLastSubnet = 250;
constexpr const char* kZones[] = { "worcester", "robertson", "paarl", "ceres" };
constexpr const char* kHostName = "kiosk.example";
}

Deployment3::Deployment3(DeploymentOptions3 aOptions,
                         const std::string& aRecord)
  : options_(aOptions)
  , record_(aRecord)
  , startedAt_(NowMs())
  , nextJob_(static_cast<std::uint64_t>(::getpid()) << 16U)
{
  std::ofstream(record_).close();
  // The first subnet of the loopback range that no other run has claimed.
  for (int i = kFirstSubnet; i <= kLastSubnet && claim_ < 0; ++i) {
    subnet_ = i;
    claim_ = ListenOn(Address(kClaimHost, kClaimPort));
  }
  auto pattern =
    (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  directory_ = ::mkdtemp(pattern.data());
  store_ = new Store3(Address(kStoreHost, kStorePort));
  Configure(kFirstVersion, options_.hasInnerQueue);
  if (options_.cutEntry >= 0) {
    auto entry = static_cast<std::size_t>(options_.cutEntry);
    cut_ = new Cut3(Address(kCutHost, kLinkPort),
                    Address(kFirstEntryHost + entry, kLinkPort));
  }
  entries_.resize(options_.entries);
  agents_.resize(options_.agents);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
  for (std::size_t i = 0; i < options_.agents; ++i) {
    auto host = kFirstAgentHost + i;
    runners_.push_back(new Runner3("i-" + std::to_string(i),
                                   Address(host, kRunnerPort),
                                   Address(host, kControlPort),
                                   kZones[i % std::size(kZones)]));
    StartAgent(i);
  }
}

Deployment3::~Deployment3()
{
  KillAll();
  std::filesystem::remove_all(directory_);
}

std::string
Deployment3::Address(std::size_t aHost, int aPort) const
{
  return "127.78." + std::to_string(subnet_) + "." + std::to_string(aHost) +
         ":" + std::to_string(aPort);
}

std::string
Deployment3::Front(std::size_t aEntry) const
{
  return Address(kFirstEntryHost + aEntry, kFrontPort);
}

std::string
Deployment3::WriteSettings(const std::string& aName, const Json& aSettings)
{
  auto path = directory_ + "/" + aName + ".json";
  std::ofstream(path) << aSettings.dump(2);
  return path;
}

Json
Deployment3::Queue(const std::string& aName, const std::string& aPrefix) const
{
  return { { "name", aName },
           { "host", kHostName },
           { "pathPrefix", aPrefix },
           { "service", "tally" },
           { "priority", 0 },
           { "targetLatencyMs", options_.targetLatencyMs },
           { "timeoutMs", options_.timeoutMs },
           { "maxAttempts", 4 },
           { "stretch", 1.6 } };
}

void
Deployment3::Configure(int aVersion, bool aHasInnerQueue)
{
  auto routes = Json::array({ Queue("tally", "/tally/") });
  if (aHasInnerQueue) {
    routes.push_back(Queue("recon", "/tally/recon/"));
  }
  store_->Put("op",
              "config",
              Json{ { "version", aVersion }, { "routes", routes } }.dump());
}

void
Deployment3::DropInnerQueue()
{
  Configure(kSecondVersion, false);
}

void
Deployment3::StartEntry(std::size_t aIndex)
{
  auto name = "edge-" + std::to_string(aIndex + 1);
  auto host = kFirstEntryHost + aIndex;
  bool isCut = options_.cutEntry == static_cast<int>(aIndex);
  auto path = WriteSettings(
    name,
    { { "deployment", "platform" },
      { "entry", name },
      { "failure_domain", kZones[aIndex % std::size(kZones)] },
      { "front_address", Address(host, kFrontPort) },
      { "readiness_address", Address(host, kReadinessPort) },
      { "link_address", Address(host, kLinkPort) },
      { "advertised_address", Address(isCut ? kCutHost : host, kLinkPort) },
      { "caller_retry_ms", 1300 },
      { "lease_ms", 1000 },
      { "grace_s", 6 },
      { "remote_data_factor", 1.5 },
      { "admission", "by_priority" },
      { "metrics_address", Address(host, kMetricsPort) },
      { "store_address", Address(kStoreHost, kStorePort) } });
  entries_[aIndex] =
    Launch("target/Services/Entry/vanillaworks-entry", path, name);
}

void
Deployment3::StartAgent(std::size_t aIndex)
{
  auto name = "side-" + std::to_string(aIndex + 1);
  auto host = kFirstAgentHost + aIndex;
  auto seeds = Json::array();
  for (std::size_t i = 0; i < options_.entries; ++i) {
    bool isCut = options_.cutEntry == static_cast<int>(i);
    seeds.push_back(Address(isCut ? kCutHost : kFirstEntryHost + i, kLinkPort));
  }
  auto path =
    WriteSettings(name,
                  { { "deployment", "platform" },
                    { "upstream", name },
                    { "control_address", Address(host, kControlPort) },
                    { "entry_hosts", seeds },
                    { "link_port", kLinkPort },
                    { "caller_retry_ms", 1300 },
                    { "lease_ms", 1000 },
                    { "grace_s", 6 },
                    { "start_policy", "lookahead" },
                    { "metrics_address", Address(host, kMetricsPort) },
                    { "store_address", Address(kStoreHost, kStorePort) } });
  agents_[aIndex] =
    Launch("target/Services/Agent/vanillaworks-agent", path, name);
}

pid_t
Deployment3::Launch(const std::string& aProgram,
                    const std::string& aSettings,
                    const std::string& aName)
{
  auto log = directory_ + "/" + aName + ".log";
  pid_t process = ::fork();
  if (process == 0) {
    // It ends with the test, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execl(aProgram.c_str(),
            aProgram.c_str(),
            "--settings",
            aSettings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  return process;
}

void
Deployment3::KillAll()
{
  for (auto* list : { &entries_, &agents_ }) {
    for (auto process : *list) {
      if (process > 0) {
        ::kill(process, SIGKILL);
      }
    }
  }
  for (auto* list : { &entries_, &agents_ }) {
    for (auto& process : *list) {
      if (process > 0) {
        ::waitpid(process, nullptr, 0);
        process = 0;
      }
    }
  }
}

void
Deployment3::FreezeAgent(std::size_t aIndex)
{
  ::kill(agents_[aIndex], SIGSTOP);
}

void
Deployment3::ThawAgent(std::size_t aIndex)
{
  ::kill(agents_[aIndex], SIGCONT);
}

bool
Deployment3::IsReady(std::size_t aEntry)
{
  constexpr std::int64_t kTimeoutMs = 5000;
  auto host = kFirstEntryHost + aEntry;
  if (review::Call(Address(host, kReadinessPort), "GET", "/readyz", "", 500)
        .Status() != 200) {
    return false;
  }
  auto answer = review::Call(Front(aEntry),
                             "POST",
                             PathOf(NewJob()),
                             JobBody(4 * options_.agents, 20, 20),
                             kTimeoutMs,
                             kHostName);
  return answer.Status() == 200;
}

bool
Deployment3::WaitUntilReady()
{
  constexpr std::int64_t kBoundMs = 30'000;
  auto until = NowMs() + kBoundMs;
  while (NowMs() < until) {
    SleepMs(200);
    bool areReady = claim_ >= 0;
    for (std::size_t i = 0; i < options_.entries; ++i) {
      areReady = areReady && IsReady(i);
    }
    if (areReady) {
      // The links have been up for longer than any time-out.
      SleepMs(3000);
      Log("the deployment is ready");
      return true;
    }
  }
  Log("the deployment did not become ready");
  return false;
}

std::string
Deployment3::NewJob()
{
  constexpr int kDigits = 16;
  std::string text(kDigits, '0');
  auto number = nextJob_++;
  for (int i = kDigits - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = "0123456789abcdef"[number & 15U];
    number >>= 4U;
  }
  return text;
}

std::string
Deployment3::JobBody(std::size_t aTasks, int aTaskMs, int aEstimateMs)
{
  return Json{
    { "spec", std::to_string(aTaskMs) },
    { "bestEffort", true },
    { "steps",
      { { { "count", aTasks },
          { "cpu", 1600 },
          { "memMb", 64 },
          { "estimateMs", aEstimateMs } } } }
  }.dump();
}

std::string
Deployment3::PathOf(const std::string& aJob)
{
  return "/tally/" + aJob;
}

std::vector<RunRecord3>
Deployment3::RunsOf(const std::string& aJob)
{
  std::vector<RunRecord3> runs;
  for (auto* runner : runners_) {
    for (auto& record : runner->Records()) {
      if (record.task.starts_with(aJob)) {
        runs.push_back(std::move(record));
      }
    }
  }
  std::sort(runs.begin(), runs.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.startedAt < aOther.startedAt;
  });
  return runs;
}

void
Deployment3::Log(const std::string& aText)
{
  std::scoped_lock lock(recordMutex_);
  std::ofstream(record_, std::ios::app)
    << NowMs() - startedAt_ << " ms  " << aText << "\n";
}

void
Deployment3::LogRuns(const std::string& aJob)
{
  for (const auto& run : RunsOf(aJob)) {
    auto end = run.endedAt == 0
                 ? "runs on"
                 : "ended " + run.how + " at " +
                     std::to_string(run.endedAt - startedAt_) + " ms";
    Log("run: task " + run.task + " run " + std::to_string(run.run) +
        " on runner " + run.runner + ", started at " +
        std::to_string(run.startedAt - startedAt_) + " ms, " + end);
  }
}

}
