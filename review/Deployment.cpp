#include "review/Deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {
using Json = nlohmann::json;

// The ports of the example on the page of the deploy file.
constexpr int kFrontPort = 8161;
constexpr int kReadinessPort = 8167;
constexpr int kControlPort = 8166;
constexpr int kLinkPort = 7720;
constexpr int kMetricsPort = 9464;
constexpr int kRunnerPort = 8165;
constexpr int kStorePort = 8169;
constexpr std::size_t kStoreHost = 10;
constexpr std::size_t kStoreProxyHost = 9;
constexpr std::size_t kFirstEntryHost = 11;
constexpr std::size_t kFirstWorkerHost = 61;
constexpr const char* kEntryProgram =
  "target/Services/Entry/vanillaworks-entry";
constexpr const char* kAgentProgram =
  "target/Services/Agent/vanillaworks-agent";
constexpr const char* kHost = "queue.example";
constexpr const char* kService = "tally";
const std::string kZones[] = { "pier-end", "promenade" };
constexpr std::int64_t kReadyTimeoutMs = 20'000;
}

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aLog)
{
  std::vector<char*> arguments;
  for (const auto& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  // The process ends with the program that started it.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments.front(), arguments.data());
  _exit(127);
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aNumber) const
{
  if (pid_ > 0) {
    kill(pid_, aNumber);
  }
}

void
Process::Kill()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

Deployment::Deployment(DeploymentOptions aOptions, Record& aRecord)
  : options_(std::move(aOptions))
  , record_(aRecord)
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
}

Deployment::~Deployment()
{
  entries_.clear();
  agents_.clear();
  runners_.clear();
  storeProxy_.reset();
  store_.reset();
  if (std::getenv("KEEP_LOGS")) {
    std::fprintf(stderr, "logs: %s\n", directory_.c_str());
    return;
  }
  std::filesystem::remove_all(directory_);
}

Address
Deployment::At(std::size_t aHost, int aPort) const
{
  return { "127.78." + std::to_string(network_) + "." + std::to_string(aHost),
           aPort };
}

bool
Deployment::ChooseNetwork()
{
  constexpr int kNetworks = 200;
  for (int i = 0; i < kNetworks; ++i) {
    network_ = (getpid() + i) % kNetworks + 1;
    int store = Listen(At(kStoreHost, kStorePort));
    int front = Listen(At(kFirstEntryHost, kFrontPort));
    bool isFree = store >= 0 && front >= 0;
    close(store);
    close(front);
    if (isFree) {
      return true;
    }
  }
  return false;
}

bool
Deployment::Start()
{
  if (!ChooseNetwork()) {
    return false;
  }
  store_ = std::make_unique<Store>(At(kStoreHost, kStorePort));
  storeProxy_ = std::make_unique<Proxy>(At(kStoreProxyHost, kStorePort),
                                        At(kStoreHost, kStorePort));
  if (!store_->Open() || !storeProxy_->Open()) {
    return false;
  }
  Configure(1, { "/q/" });
  for (std::size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
  for (std::size_t i = 0; i < options_.runners.size(); ++i) {
    auto host = kFirstWorkerHost + i;
    RunnerOptions runner;
    runner.id = "runner-" + std::to_string(i + 1);
    runner.service = kService;
    runner.zone = kZones[i % 2];
    runner.labels = options_.runners[i];
    runner.address = At(host, kRunnerPort);
    runner.agent = At(host, kControlPort);
    StartAgent(i);
    runners_.push_back(std::make_unique<Runner>(runner, record_));
    if (!runners_.back()->Open()) {
      return false;
    }
  }
  return WaitUntilReady();
}

std::string
Deployment::WriteSettings(const std::string& aName, Json aSettings) const
{
  // The rest of what deploy/entry.json and deploy/agent.json have in common.
  auto storeHost = options_.hasStoreProxy ? kStoreProxyHost : kStoreHost;
  aSettings["deployment"] = "platform";
  aSettings["caller_retry_ms"] = 1300;
  aSettings["lease_ms"] = 1000;
  aSettings["grace_s"] = 6;
  aSettings["store_address"] = At(storeHost, kStorePort).Text();
  auto path = directory_ + "/" + aName + ".json";
  std::ofstream(path) << aSettings.dump(2);
  return path;
}

void
Deployment::StartEntry(std::size_t aIndex)
{
  auto name = "entry-" + std::to_string(aIndex + 1);
  auto host = kFirstEntryHost + aIndex;
  auto settings =
    WriteSettings(name,
                  { { "entry", name },
                    { "failure_domain", kZones[aIndex % 2] },
                    { "front_address", At(host, kFrontPort).Text() },
                    { "readiness_address", At(host, kReadinessPort).Text() },
                    { "link_address", At(host, kLinkPort).Text() },
                    { "metrics_address", At(host, kMetricsPort).Text() } });
  entries_.push_back(std::make_unique<Process>(
    std::vector<std::string>{ kEntryProgram, "--settings", settings },
    directory_ + "/" + name + ".log"));
}

void
Deployment::StartAgent(std::size_t aIndex)
{
  auto name = "agent-" + std::to_string(aIndex + 1);
  auto host = kFirstWorkerHost + aIndex;
  auto seeds = Json::array();
  for (std::size_t i = 0; i < options_.entries; ++i) {
    seeds.push_back(At(kFirstEntryHost + i, kControlPort).Text());
  }
  auto settings =
    WriteSettings(name,
                  { { "upstream", name },
                    { "control_address", At(host, kControlPort).Text() },
                    { "entry_hosts", seeds },
                    { "link_port", kLinkPort },
                    { "metrics_address", At(host, kMetricsPort).Text() } });
  agents_.push_back(std::make_unique<Process>(
    std::vector<std::string>{ kAgentProgram, "--settings", settings },
    directory_ + "/" + name + ".log"));
}

void
Deployment::Configure(int aVersion, const std::vector<std::string>& aPrefixes)
{
  auto routes = Json::array();
  for (const auto& prefix : aPrefixes) {
    routes.push_back({ { "name", "route" + prefix },
                       { "host", kHost },
                       { "pathPrefix", prefix },
                       { "service", kService },
                       { "type", "non_idempotent" },
                       { "timeoutMs", 10'000 },
                       { "targetLatencyMs", 500 },
                       { "maxAttempts", 4 },
                       { "priority", 0 },
                       { "stretch", 1.6 } });
  }
  Json configuration{ { "version", aVersion },
                      { "routes", routes },
                      { "services",
                        { { { "name", kService },
                            { "maxConns", 64 },
                            { "enforcesCapacity", false } } } },
                      { "limits", Json::object() } };
  store_->WriteOperatorRow("config", configuration.dump());
  record_.Write("the store acknowledged desired state " +
                std::to_string(aVersion));
}

void
Deployment::Evacuate(const std::string& aZone)
{
  store_->WriteOperatorRow("evacuate/" + aZone, "{}");
  record_.Write("the store acknowledged the evacuation of " + aZone);
}

Address
Deployment::AgentControl(std::size_t aIndex) const
{
  return At(kFirstWorkerHost + aIndex, kControlPort);
}

CallResult
Deployment::Submit(std::size_t aEntry, const JobOptions& aJob)
{
  Json step{ { "count", aJob.tasks },
             { "cpu", aJob.cpu },
             { "memMb", 64 },
             { "estimateMs", aJob.estimateMs } };
  if (!aJob.requiredLabel.empty()) {
    step["requires"] = aJob.requiredLabel;
  }
  Json body{ { "spec", aJob.spec },
             { "bestEffort", true },
             { "steps", Json::array({ step }) } };
  auto name = "job " + aJob.id + " at entry-" + std::to_string(aEntry + 1);
  record_.Write("client sends " + name);
  auto result = Send(
    { At(kFirstEntryHost + aEntry, kFrontPort),
      "POST",
      "/q/" + aJob.id,
      { { "Host", kHost }, { "Deadline-Ms", std::to_string(aJob.deadlineMs) } },
      body.dump(),
      aJob.deadlineMs });
  record_.Write("client of " + name + ": " + result.Text());
  return result;
}

CallResult
Deployment::Call(std::size_t aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 std::int64_t aTimeoutMs)
{
  return Send(
    { At(kFirstEntryHost + aEntry, kFrontPort),
      aMethod,
      aPath,
      { { "Host", kHost }, { "Deadline-Ms", std::to_string(aTimeoutMs) } },
      "",
      aTimeoutMs });
}

std::vector<RunRecord>
Deployment::Runs()
{
  std::vector<RunRecord> runs;
  for (auto& runner : runners_) {
    auto own = runner->Runs();
    runs.insert(runs.end(), own.begin(), own.end());
  }
  return runs;
}

bool
Deployment::WaitUntilReady()
{
  auto until = NowMs() + kReadyTimeoutMs;
  std::uint64_t nextJob = 1U << 30U;
  while (NowMs() < until) {
    SleepMs(200);
    bool isReady = true;
    for (std::size_t i = 0; i < options_.entries && isReady; ++i) {
      // This job fills all runners, so all of them are known to the entry.
      JobOptions job;
      job.id = JobId(nextJob++);
      job.tasks = static_cast<int>(8 * options_.runners.size());
      job.spec = "20";
      job.estimateMs = 20;
      isReady = Submit(i, job).status == 200;
    }
    if (isReady) {
      SleepMs(500);
      record_.Write("all entries and runners are ready");
      return true;
    }
  }
  return false;
}

std::string
Deployment::JobId(std::uint64_t aNumber)
{
  char text[17];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

}
