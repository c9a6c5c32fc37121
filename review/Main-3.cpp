#include "Deployment-3.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

namespace {
using namespace review;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr const char* kHostName = "kiosk.example";
const std::string kQueue = "/tally/";
const std::string kInnerQueue = "/tally/recon/";

/** Bounds of the site karoo-shell. */
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kRetransmitMs = 1300;
constexpr std::int64_t kAckMs = 4000;
constexpr std::int64_t kConfigApplyMs = 2000;

bool
IsTroubled()
{
  const auto* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/** A job's POST on a connection of its own, which stays open. */
class Post
{
public:
  Post(Deployment3& aDeployment,
       std::size_t aEntry,
       const std::string& aJob,
       const std::string& aBody,
       std::int64_t aDeadlineMs,
       const std::string& aQueue = kQueue)
    : deployment_(aDeployment)
    , job_(aJob)
    , socket_(ConnectTo(aDeployment.Front(aEntry)))
    , reader_(socket_)
  {
    deployment_.Log("POST of job " + aJob + " to entry " +
                    std::to_string(aEntry + 1));
    isSent_ = SendAll(
      socket_,
      FormatRequest("POST", aQueue + aJob, kHostName, aBody, aDeadlineMs));
  }

  /** Asks for the job's state on the same connection. */
  void AskState()
  {
    deployment_.Log("GET of the job on the same connection");
    SendAll(socket_, FormatRequest("GET", kQueue + job_, kHostName, ""));
  }
  void Close()
  {
    deployment_.Log("the client closes the connection");
    ::close(socket_);
  }
  /** Returns the status of the answer; 0 if there was none. */
  int Await(std::int64_t aTimeoutMs)
  {
    HttpMessage answer;
    bool isAnswered = isSent_ && reader_.Read(answer, aTimeoutMs);
    deployment_.Log("answer to the POST of job " + job_ + ": " +
                    (isAnswered ? answer.start + " " + answer.body : "none"));
    return isAnswered ? answer.Status() : 0;
  }

private:
  Deployment3& deployment_;
  std::string job_;
  int socket_;
  HttpReader reader_;
  bool isSent_ = false;
};

int
Cancel(Deployment3& aDeployment,
       std::size_t aEntry,
       const std::string& aJob,
       const std::string& aQueue = kQueue)
{
  auto answer = review::Call(
    aDeployment.Front(aEntry), "DELETE", aQueue + aJob, "", kAckMs, kHostName);
  aDeployment.Log("DELETE of job " + aJob + " at entry " +
                  std::to_string(aEntry + 1) + ": " + answer.start);
  return answer.Status();
}

bool
IsCancelAcked(int aStatus)
{
  return (aStatus >= 200 && aStatus < 300) || aStatus == 410;
}

/** The number of starts of the job later than cancel_ms after the ack. */
std::size_t
StartsAfterCancel(Deployment3& aDeployment,
                  const std::string& aJob,
                  std::int64_t aAckedAt)
{
  std::size_t count = 0;
  for (const auto& run : aDeployment.RunsOf(aJob)) {
    count += run.startedAt > aAckedAt + kCancelMs ? 1U : 0U;
  }
  aDeployment.Log(std::to_string(count) + " of " +
                  std::to_string(aDeployment.RunsOf(aJob).size()) +
                  " starts came later than cancel_ms after the ack");
  return count;
}

/** TWICE: the longest time for which a task ran on two runners at once. */
std::int64_t
LongestOverlap(Deployment3& aDeployment, const std::string& aJob)
{
  std::int64_t longest = 0;
  auto runs = aDeployment.RunsOf(aJob);
  auto now = NowMs();
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      if (runs[i].task != runs[j].task) {
        continue;
      }
      auto endOf = [now](const RunRecord3& aRun) {
        return aRun.endedAt == 0 ? now : aRun.endedAt;
      };
      auto overlap = std::min(endOf(runs[i]), endOf(runs[j])) -
                     std::max(runs[i].startedAt, runs[j].startedAt);
      longest = std::max(longest, overlap);
    }
  }
  aDeployment.Log("longest time for which a task ran twice at once: " +
                  std::to_string(longest) + " ms");
  return longest;
}

/**
 * Four clients hand in a job each. One of them asks for its job's state, leaves
 * before the deadline, and sends the job again at another entry.
 */
int
RunLeavingClient(const std::string& aRecord)
{
  constexpr std::size_t kTasks = 4;
  constexpr int kEstimateMs = 900;
  constexpr int kTaskMs = 2000;
  constexpr std::int64_t kDeadlineMs = 1500;
  Deployment3 deployment({}, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  std::vector<std::unique_ptr<Post>> others;
  for (std::size_t i = 1; i < 4; ++i) {
    others.push_back(std::make_unique<Post>(deployment,
                                            i,
                                            deployment.NewJob(),
                                            Deployment3::JobBody(2, 200, 200),
                                            kDeadlineMs));
  }
  auto job = deployment.NewJob();
  auto body = Deployment3::JobBody(kTasks, kTaskMs, kEstimateMs);
  Post first(deployment, 0, job, body, kDeadlineMs);
  SleepMs(20);
  bool asksState = std::getenv("WITHOUT_GET") == nullptr;
  if (asksState) {
    first.AskState();
  }
  SleepMs(20);
  if (IsTroubled()) {
    first.Close();
    SleepMs(kRetransmitMs);
    Post second(deployment, 1, job, body, kDeadlineMs);
    second.Await(2 * kDeadlineMs);
  } else {
    first.Await(2 * kDeadlineMs);
  }
  for (auto& other : others) {
    other->Await(2 * kDeadlineMs);
  }
  SleepMs(500);
  deployment.LogRuns(job);
  auto overlap = LongestOverlap(deployment, job);
  if (deployment.RunsOf(job).empty()) {
    return kCouldNotRun;
  }
  return overlap > 0 ? kBroken : kHeld;
}

/** A job is cancelled at an entry that is cut off from all agents. */
int
RunCancelAtCutEntry(const std::string& aRecord)
{
  constexpr int kTaskMs = 1000;
  constexpr std::size_t kTasks = 400;
  constexpr std::int64_t kDeadlineMs = 20'000;
  constexpr std::int64_t kCutMs = 5500;
  DeploymentOptions3 options;
  options.targetLatencyMs = kDeadlineMs;
  options.timeoutMs = kDeadlineMs;
  options.cutEntry = 1;
  Deployment3 deployment(options, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job = deployment.NewJob();
  Post post(deployment,
            0,
            job,
            Deployment3::JobBody(kTasks, kTaskMs, kTaskMs),
            kDeadlineMs);
  SleepMs(500);
  if (IsTroubled()) {
    deployment.Log("entry 2 is cut off from all agents");
    deployment.Cut().SetCut(true);
  }
  auto cutAt = NowMs();
  SleepMs(500);
  int status = Cancel(deployment, 1, job);
  auto ackedAt = NowMs();
  SleepUntil(cutAt + kCutMs);
  deployment.Cut().SetCut(false);
  deployment.Log("the cut has ended");
  post.Await(kDeadlineMs + 1000 - kCutMs);
  SleepMs(500);
  deployment.LogRuns(job);
  auto late = StartsAfterCancel(deployment, job, ackedAt);
  if (!IsCancelAcked(status) || deployment.RunsOf(job).empty()) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

/**
 * A job is cancelled, all processes are killed and started again, and the job's
 * request arrives once more.
 */
int
RunCancelBeforeKill(const std::string& aRecord)
{
  constexpr std::size_t kTasks = 4;
  constexpr int kTaskMs = 900;
  constexpr std::int64_t kDeadlineMs = 1500;
  constexpr std::int64_t kCopyDelayMs = 6000;
  DeploymentOptions3 options;
  Deployment3 deployment(options, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job = deployment.NewJob();
  auto body = Deployment3::JobBody(kTasks, kTaskMs, kTaskMs);
  Post post(deployment, 0, job, body, kDeadlineMs);
  SleepMs(300);
  int status = Cancel(deployment, 1, job);
  auto ackedAt = NowMs();
  post.Await(kDeadlineMs);
  SleepMs(500);
  if (IsTroubled()) {
    deployment.Log("all entries and agents are killed");
    deployment.KillAll();
    SleepMs(700);
    for (std::size_t i = 0; i < options.entries; ++i) {
      deployment.StartEntry(i);
    }
    for (std::size_t i = 0; i < options.agents; ++i) {
      deployment.StartAgent(i);
    }
    deployment.Log("all entries and agents were started again");
  }
  SleepUntil(ackedAt + kCopyDelayMs);
  Post again(deployment, 0, job, body, kDeadlineMs);
  again.Await(2 * kDeadlineMs);
  SleepMs(500);
  deployment.LogRuns(job);
  auto late = StartsAfterCancel(deployment, job, ackedAt);
  if (!IsCancelAcked(status) || deployment.RunsOf(job).empty()) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

/** The queue of a job is dropped from the desired state, then the job is
 * cancelled. */
int
RunCancelInDroppedQueue(const std::string& aRecord)
{
  constexpr int kTaskMs = 1000;
  constexpr std::size_t kTasks = 500;
  constexpr std::int64_t kDeadlineMs = 20'000;
  DeploymentOptions3 options;
  options.targetLatencyMs = kDeadlineMs;
  options.timeoutMs = kDeadlineMs;
  options.hasInnerQueue = true;
  Deployment3 deployment(options, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job = deployment.NewJob();
  Post post(deployment,
            0,
            job,
            Deployment3::JobBody(kTasks, kTaskMs, kTaskMs),
            kDeadlineMs,
            kInnerQueue);
  SleepMs(500);
  if (IsTroubled()) {
    deployment.Log("a newer desired state has no queue " + kInnerQueue);
    deployment.DropInnerQueue();
  }
  SleepMs(kConfigApplyMs + 500);
  int status = Cancel(deployment, 1, job, kInnerQueue);
  // A cancel without an ack counts from when it has waited for ackMs.
  auto countsFrom = NowMs() + (IsCancelAcked(status) ? 0 : kAckMs);
  post.Await(kDeadlineMs);
  SleepMs(500);
  deployment.LogRuns(job);
  auto late = StartsAfterCancel(deployment, job, countsFrom);
  if (status == 0 || deployment.RunsOf(job).empty()) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

/**
 * The next start of the job that reaches any runner gets no answer and is
 * carried out later. Returns the index of that runner.
 */
std::size_t
AwaitDelayedStart(Deployment3& aDeployment)
{
  constexpr std::int64_t kBoundMs = 1000;
  auto until = NowMs() + kBoundMs;
  std::size_t index = aDeployment.CountRunners();
  while (index == aDeployment.CountRunners() && NowMs() < until) {
    SleepMs(1);
    for (std::size_t i = 0; i < aDeployment.CountRunners(); ++i) {
      index = aDeployment.Runner(i).HasDelayedStart() ? i : index;
    }
  }
  for (std::size_t i = 0; i < aDeployment.CountRunners(); ++i) {
    aDeployment.Runner(i).DelayStartOf("", 0);
  }
  return index;
}

/**
 * A start gets no answer, and its task runs elsewhere. The runner crashes while
 * its agent is frozen, and carries the start out in its next life.
 */
int
RunLateStart(const std::string& aRecord)
{
  constexpr int kTaskMs = 3600;
  constexpr std::int64_t kDeadlineMs = 6000;
  constexpr std::int64_t kLateMs = 2500;
  constexpr std::int64_t kFreezeMs = 4000;
  constexpr std::int64_t kDownMs = 800;
  DeploymentOptions3 options;
  options.targetLatencyMs = kDeadlineMs;
  options.timeoutMs = kDeadlineMs;
  Deployment3 deployment(options, aRecord);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  auto job = deployment.NewJob();
  for (std::size_t i = 0; IsTroubled() && i < options.agents; ++i) {
    deployment.Runner(i).DelayStartOf(job, kLateMs);
  }
  Post post(
    deployment, 0, job, Deployment3::JobBody(1, kTaskMs, kTaskMs), kDeadlineMs);
  if (IsTroubled()) {
    auto index = AwaitDelayedStart(deployment);
    if (index == options.agents) {
      return kCouldNotRun;
    }
    auto name = "i-" + std::to_string(index);
    deployment.Log("a start gets no answer from runner " + name +
                   ", which carries it out 2.5 s later");
    SleepMs(500);
    deployment.Log("the agent of the runner freezes");
    deployment.FreezeAgent(index);
    auto frozenAt = NowMs();
    SleepMs(500);
    deployment.Log("the runner crashes");
    deployment.Runner(index).Crash();
    SleepMs(kDownMs);
    deployment.Runner(index).Restart();
    deployment.Log("the runner has started again under its id");
    SleepUntil(frozenAt + kFreezeMs);
    deployment.ThawAgent(index);
    deployment.Log("the agent goes on");
  }
  post.Await(2 * kDeadlineMs);
  SleepMs(500);
  deployment.LogRuns(job);
  if (deployment.RunsOf(job).empty()) {
    return kCouldNotRun;
  }
  return LongestOverlap(deployment, job) > 0 ? kBroken : kHeld;
}
}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: review-3 CASE RECORD\n";
    return kCouldNotRun;
  }
  std::string name = aArguments[1];
  std::string record = aArguments[2];
  int result = kCouldNotRun;
  if (name == "leaving-client") {
    result = RunLeavingClient(record);
  } else if (name == "cancel-at-cut-entry") {
    result = RunCancelAtCutEntry(record);
  } else if (name == "cancel-before-kill") {
    result = RunCancelBeforeKill(record);
  } else if (name == "cancel-in-dropped-queue") {
    result = RunCancelInDroppedQueue(record);
  } else if (name == "late-start") {
    result = RunLateStart(record);
  } else {
    std::cerr << "unknown case\n";
  }
  // The threads of the stand-ins still run.
  std::_Exit(result);
}
