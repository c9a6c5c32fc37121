#include "review/Deployment-2.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace vanillaworks::review {

namespace {
using Json = nlohmann::json;

constexpr int kFrontPort = 8161;
constexpr int kFrontProxyPort = 8162;
constexpr int kAppPort = 8165;
constexpr int kControlPort = 8166;
constexpr int kReadinessPort = 8167;
constexpr int kReportProxyPort = 8168;
constexpr int kStorePort = 8169;
constexpr int kForeignPort = 8175;
constexpr int kLinkPort = 7720;
constexpr int kMetricsPort = 9464;
constexpr std::size_t kStoreHost = 7;
constexpr std::size_t kFirstEntryHost = 13;
constexpr std::size_t kFirstWorkerHost = 61;
/** retransmitMs, holdMaxMs and graceS of the users' pages. */
constexpr int kRetransmitMs = 1300;
constexpr int kHoldMaxMs = 1000;
constexpr int kGraceSeconds = 6;
constexpr int kOk = 200;
}

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aLog)
{
  std::vector<char*> arguments;
  for (const auto& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  id_ = fork();
  if (id_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int kMode = 0644;
    int log = open(aLog.c_str(), O_CREAT | O_WRONLY | O_APPEND, kMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(EXIT_FAILURE);
  }
}

Process::~Process()
{
  if (IsRunning()) {
    kill(id_, SIGCONT);
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
  }
}

void
Process::Signal(int aSignal) const
{
  if (!isOver_) {
    kill(id_, aSignal);
  }
}

bool
Process::IsRunning()
{
  isOver_ = isOver_ || waitpid(id_, nullptr, WNOHANG) == id_;
  return !isOver_;
}

Deployment::Deployment(DeploymentOptions aOptions, Record& aRecord)
  : options_(aOptions)
  , record_(aRecord)
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  if (!FindSubnet()) {
    return;
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    frontProxies_.push_back(
      std::make_unique<Proxy>(At(kFirstEntryHost + i, kFrontProxyPort),
                              At(kFirstEntryHost + i, kFrontPort)));
  }
  for (std::size_t i = 0; i < options_.workers; ++i) {
    reportProxies_.push_back(
      std::make_unique<Proxy>(At(kFirstWorkerHost + i, kReportProxyPort),
                              At(kFirstWorkerHost + i, kControlPort)));
  }
  Configure(1);
  entries_.resize(options_.entries);
  agents_.resize(options_.workers);
  runners_.resize(options_.workers);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
  for (std::size_t i = 0; i < options_.workers; ++i) {
    StartAgent(i);
    StartRunner(i);
  }
}

Deployment::~Deployment()
{
  foreignRunner_.reset();
  runners_.clear();
  entries_.clear();
  agents_.clear();
  frontProxies_.clear();
  reportProxies_.clear();
  store_.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  } else {
    record_.Write("logs are in " + directory_);
  }
}

bool
Deployment::FindSubnet()
{
  constexpr int kSubnets = 200;
  for (int i = 0; i < kSubnets; ++i) {
    subnet_ = (static_cast<int>(getpid()) + i) % kSubnets + 1;
    store_ = std::make_unique<Store>(At(kStoreHost, kStorePort));
    if (store_->IsListening()) {
      return true;
    }
  }
  return false;
}

Address
Deployment::At(std::size_t aHost, int aPort) const
{
  return "127.88." + std::to_string(subnet_) + "." + std::to_string(aHost) +
         ":" + std::to_string(aPort);
}

std::string
Deployment::ZoneOf(std::size_t aIndex) const
{
  const std::vector<std::string> zones{ "pier-end", "promenade", "harbour" };
  return zones[aIndex % zones.size()];
}

std::string
Deployment::MachineOf(std::size_t aIndex)
{
  return "runner-" + std::to_string(aIndex);
}

Address
Deployment::Front(std::size_t aEntry) const
{
  return At(kFirstEntryHost + aEntry, kFrontProxyPort);
}

Address
Deployment::Readiness(std::size_t aEntry) const
{
  return At(kFirstEntryHost + aEntry, kReadinessPort);
}

void
Deployment::Configure(std::uint64_t aVersion)
{
  Json route{ { "name", "r-3hwrr6x" },
              { "host", kHost },
              { "pathPrefix", kPrefix },
              { "type", "non_idempotent" },
              { "timeoutMs", options_.routeTimeoutMs },
              { "targetLatencyMs", 60 },
              { "priority", 0 },
              { "service", kService },
              { "maxAttempts", 4 },
              { "stretch", 1.6 } };
  Json service{ { "name", kService }, { "healthPath", "/healthz" },
                { "maxConns", 64 },   { "protocol", "h1" },
                { "tls", false },     { "coldStartS", 0.0 },
                { "coldPerS", 0.0 },  { "enforcesCapacity", false },
                { "spare", false } };
  store_->PutAsOperator("config",
                        { { "version", aVersion },
                          { "routes", Json::array({ route }) },
                          { "services", Json::array({ service }) },
                          { "limits", Json::object() } });
}

void
Deployment::StartEntry(std::size_t aIndex)
{
  auto host = kFirstEntryHost + aIndex;
  auto name = "edge-" + ZoneOf(aIndex) + "-" + std::to_string(aIndex);
  auto path = directory_ + "/" + name + ".json";
  // The fields of deploy/entry.json.
  std::ofstream(path) << Json{
    { "deployment", "platform" },
    { "entry", name },
    { "failure_domain", ZoneOf(aIndex) },
    { "front_address", At(host, kFrontPort) },
    { "readiness_address", At(host, kReadinessPort) },
    { "link_address", At(host, kLinkPort) },
    { "caller_retry_ms", kRetransmitMs },
    { "lease_ms", kHoldMaxMs },
    { "grace_s", kGraceSeconds },
    { "metrics_address", At(host, kMetricsPort) },
    { "store_address", At(kStoreHost, kStorePort) }
  };
  entries_[aIndex] = std::make_unique<Process>(
    std::vector<std::string>{
      "target/Services/Entry/vanillaworks-entry", "--settings", path },
    directory_ + "/" + name + ".log");
}

void
Deployment::StartAgent(std::size_t aIndex)
{
  auto host = kFirstWorkerHost + aIndex;
  auto name = "side-" + ZoneOf(aIndex) + "-" + std::to_string(aIndex);
  auto path = directory_ + "/" + name + ".json";
  auto seeds = Json::array();
  for (std::size_t i = 0; i < std::min<std::size_t>(options_.entries, 3); ++i) {
    seeds.push_back(At(kFirstEntryHost + i, kControlPort));
  }
  // The fields of deploy/agent.json.
  std::ofstream(path) << Json{ { "deployment", "platform" },
                               { "upstream", name },
                               { "control_address", At(host, kControlPort) },
                               { "entry_hosts", seeds },
                               { "link_port", kLinkPort },
                               { "caller_retry_ms", kRetransmitMs },
                               { "lease_ms", kHoldMaxMs },
                               { "grace_s", kGraceSeconds },
                               { "metrics_address", At(host, kMetricsPort) },
                               { "store_address",
                                 At(kStoreHost, kStorePort) } };
  agents_[aIndex] = std::make_unique<Process>(
    std::vector<std::string>{
      "target/Services/Agent/vanillaworks-agent", "--settings", path },
    directory_ + "/" + name + ".log");
}

void
Deployment::StartRunner(std::size_t aIndex, RunnerOptions aOptions)
{
  auto host = kFirstWorkerHost + aIndex;
  aOptions.trouble = trouble_;
  aOptions.machine = MachineOf(aIndex);
  aOptions.id = "i-7f3a91c" + std::to_string(aIndex);
  aOptions.service = kService;
  aOptions.zone = ZoneOf(aIndex);
  aOptions.address = At(host, kAppPort);
  aOptions.agent = At(host, kReportProxyPort);
  runners_[aIndex] = std::make_unique<Runner>(std::move(aOptions), record_);
}

void
Deployment::StartForeignRunner(std::size_t aIndex)
{
  auto host = kFirstWorkerHost + aIndex;
  RunnerOptions options;
  options.trouble = trouble_;
  options.machine = "foreign";
  options.id = "x-55d1";
  options.service = "not-named";
  options.zone = ZoneOf(aIndex);
  options.address = At(host, kForeignPort);
  options.agent = At(host, kReportProxyPort);
  foreignRunner_ = std::make_unique<Runner>(options, record_);
}

Address
Deployment::Control(std::size_t aIndex) const
{
  return At(kFirstWorkerHost + aIndex, kControlPort);
}

HttpRequest
Deployment::JobRequest(const std::string& aMethod,
                       const std::string& aId,
                       std::size_t aTasks,
                       std::int64_t aWorkMs,
                       std::int64_t aDeadlineMs) const
{
  HttpRequest request{ aMethod, kPrefix + aId, { { "Host", kHost } }, "" };
  if (aMethod == "POST") {
    request.headers["Deadline-Ms"] = std::to_string(aDeadlineMs);
    Json step{ { "count", aTasks },
               { "cpu", 6200 },
               { "memMb", 64 },
               { "estimateMs", aWorkMs } };
    request.body = Json{
      { "spec", std::to_string(aWorkMs) },
      { "bestEffort", true },
      { "steps", Json::array({ step }) }
    }.dump();
  }
  return request;
}

std::size_t
Deployment::BusiestRunner() const
{
  std::size_t busiest = 0;
  for (std::size_t i = 1; i < runners_.size(); ++i) {
    if (runners_[i]->CountRunning() > runners_[busiest]->CountRunning()) {
      busiest = i;
    }
  }
  return busiest;
}

bool
Deployment::HaveAllRun(std::int64_t aSinceMs) const
{
  auto runs = record_.Runs();
  for (std::size_t i = 0; i < options_.workers; ++i) {
    bool hasRun = std::any_of(runs.begin(), runs.end(), [&](const Run& aRun) {
      return aRun.runner == MachineOf(i) && aRun.startedMs >= aSinceMs;
    });
    if (!hasRun) {
      return false;
    }
  }
  return true;
}

bool
Deployment::WaitUntilReady()
{
  constexpr std::int64_t kBoundMs = 20'000;
  constexpr std::int64_t kStepMs = 100;
  constexpr std::int64_t kCallMs = 1500;
  constexpr std::size_t kTasksPerWorker = 8;
  auto until = NowMs() + kBoundMs;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < options_.entries;) {
    if (NowMs() > until) {
      return false;
    }
    SleepMs(kStepMs);
    auto ready =
      Call(Readiness(i), { "GET", "/readyz", {}, "" }, kCallMs).status;
    if (ready != kOk) {
      continue;
    }
    auto id = std::to_string(++number);
    id.insert(0, 16 - id.size(), '0');
    auto job =
      JobRequest("POST", id, kTasksPerWorker * options_.workers, 20, kCallMs);
    auto sentAt = NowMs();
    if (Call(Front(i), job, kCallMs).status == kOk && HaveAllRun(sentAt)) {
      ++i;
    }
  }
  record_.Write("every entry has run a job on every runner");
  return true;
}

}
