#include "Tests/LibJob/SimulatedJobCluster.h"

#include <algorithm>
#include <fmt/format.h>

namespace vanillaworks::tests {

namespace {
constexpr Milliseconds kNetworkDelay{ 1 };
constexpr Milliseconds kRunnerNetworkDelay{ 1 };
constexpr Milliseconds kTickInterval{ 25 };
constexpr Milliseconds kHeartbeatInterval{ 200 };
constexpr Milliseconds kReportInterval{ 1500 };
constexpr Milliseconds kLinkTimeout{ 1000 };
constexpr Milliseconds kCallerRetry{ 1300 };
constexpr Milliseconds kClosePropagationLimit{ 2000 };
constexpr Milliseconds kControlDelay{ 50 };
/** From the start of a task that crashes its runner until the crash. */
constexpr Milliseconds kCrashDelay{ 15 };
constexpr Milliseconds kRunnerRestart{ 3000 };
constexpr const char* kService = "tally";

std::string
EntryName(int aEntry)
{
  return fmt::format("entry-{}", aEntry);
}

std::string
DomainOf(int aAgent)
{
  return fmt::format("domain-{}", aAgent % 3);
}
}

struct SimulatedJobCluster::EntryNode final : public job::JobDispatcherPort
{
  EntryNode(SimulatedJobCluster& aCluster, int aIndex)
    : cluster(aCluster)
    , index(aIndex)
  {
  }
  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override
  {
    cluster.ToAgent(index, std::stoi(aUpstream.Value()), std::move(aMessage));
  }
  void Answer(WaiterId aWaiter,
              const job::JobRequest&,
              const job::JobAnswer& aAnswer) override
  {
    cluster.OnAnswer(index, aWaiter, aAnswer);
  }
  bool IsCallerConnected(WaiterId aWaiter) override
  {
    return waiters.contains(aWaiter);
  }
  void ScheduleWake() override
  {
    cluster.Schedule(Milliseconds(5), [this, ofIncarnation = incarnation] {
      if (incarnation == ofIncarnation) {
        cluster.WhenEntryAwake(index,
                               [this] { dispatcher->OnWake(cluster.now_); });
      }
    });
  }
  void OnPlaced(const job::TaskPlaced&) override {}
  void OnEnded(const job::TaskEnded&) override {}
  void OnReleased(const job::TaskReleased&) override {}

  SimulatedJobCluster& cluster;
  int index;
  job::ControlView control;
  std::unique_ptr<job::JobDispatcher> dispatcher;
  std::map<WaiterId, std::string> waiters;
  /** Linked agents, and when they were last heard from. */
  std::map<int, MonotonicTime> links;
  std::uint64_t incarnation = 0;
  MonotonicTime startedAt;
  MonotonicTime frozenUntil;
  /** What the process will find in its sockets when it goes on. */
  std::vector<std::function<void()>> unread;
};

struct SimulatedJobCluster::AgentNode final : public job::RunSupervisorPort
{
  AgentNode(SimulatedJobCluster& aCluster, int aIndex)
    : cluster(aCluster)
    , index(aIndex)
  {
  }
  /** Hands an answer to the process once it has arrived and the process runs.
   */
  void ReceiveLater(Milliseconds aDelay, std::function<void()> aAction)
  {
    cluster.Schedule(aDelay, [this, action = std::move(aAction)] {
      cluster.WhenAwake(index, action);
    });
  }
  void SendToRunner(std::function<void()> aAction,
                    std::function<void()> aOnLost)
  {
    if (cluster.now_ < runnerSilentUntil) {
      aOnLost();
      return;
    }
    cluster.SendToRunner(std::move(aAction), std::move(aOnLost));
  }
  /** Carries out a stop or hold call that got no answer, if it is to be. */
  void ExecuteLate(std::function<void()> aAction)
  {
    auto share = cluster.options_.lateStopsAndHolds;
    if (share > 0 && cluster.HappensWith(share)) {
      cluster.Schedule(Milliseconds(2000 + cluster.random_() % 10'000),
                       std::move(aAction));
    }
  }
  void CallStart(const job::StartCall& aCall) override
  {
    auto ofIncarnation = incarnation;
    auto answer = [this, ofIncarnation, aCall](job::StartResult aResult) {
      ReceiveLater(kRunnerNetworkDelay, [this, ofIncarnation, aCall, aResult] {
        if (incarnation == ofIncarnation) {
          supervisor->OnStartAnswered(
            aCall.key, aCall.target.token, aResult, cluster.now_);
        }
      });
    };
    SendToRunner(
      [this, answer, aCall] {
        answer(IsRunnerDown() ? job::StartResult::NotReached
                              : runner->Start(aCall, cluster.now_));
      },
      [this, answer, aCall] {
        cluster.Schedule(aCall.timeout,
                         [answer] { answer(job::StartResult::Unknown); });
        if (cluster.HappensWith(cluster.options_.lateCalls)) {
          cluster.Schedule(
            Milliseconds(2000 + cluster.random_() % 6000),
            [this, aCall] { runner->Start(aCall, cluster.now_); });
        }
      });
  }
  void CallStop(const job::StopCall& aCall) override
  {
    auto ofIncarnation = incarnation;
    auto answer = [this, ofIncarnation, aCall](job::StopResult aResult) {
      ReceiveLater(kRunnerNetworkDelay, [this, ofIncarnation, aCall, aResult] {
        if (incarnation == ofIncarnation) {
          supervisor->OnStopAnswered(
            aCall.key, aCall.target.token, aResult, cluster.now_);
        }
      });
    };
    auto onLost = [this, answer, aCall] {
      cluster.Schedule(aCall.timeout,
                       [answer] { answer(job::StopResult::Unknown); });
      ExecuteLate([this, aCall] { runner->Stop(aCall, cluster.now_); });
    };
    if (cluster.now_ < stopsLostUntil) {
      onLost();
      return;
    }
    SendToRunner(
      [this, answer, aCall] {
        answer(IsRunnerDown() ? job::StopResult::Unknown
                              : runner->Stop(aCall, cluster.now_));
      },
      onLost);
  }
  void CallHold(std::uint64_t aNumber, const job::HoldCall& aCall) override
  {
    auto ofIncarnation = incarnation;
    auto until = cluster.now_ + aCall.wait;
    SendToRunner(
      [this, ofIncarnation, aNumber, aCall, until] {
        if (IsRunnerDown()) {
          AnswerHold(ofIncarnation, aNumber, NotReached());
          return;
        }
        runner->Hold(aCall, cluster.now_);
        AnswerHoldAfterEnd(ofIncarnation, aNumber, aCall, until);
      },
      [this, ofIncarnation, aNumber, aCall] {
        ReceiveLater(aCall.wait + Milliseconds(300),
                     [this, ofIncarnation, aNumber] {
                       if (incarnation == ofIncarnation) {
                         supervisor->OnHoldAnswered(aNumber, {}, cluster.now_);
                       }
                     });
        ExecuteLate([this, aCall] { runner->Hold(aCall, cluster.now_); });
      });
  }
  void AnswerHoldAfterEnd(std::uint64_t aIncarnation,
                          std::uint64_t aNumber,
                          const job::HoldCall& aCall,
                          MonotonicTime aUntil)
  {
    if (IsRunnerDown()) {
      AnswerHold(aIncarnation, aNumber, {});
      return;
    }
    runner->Advance(cluster.now_);
    if (!runner->HasUnseenEnds(aCall) && cluster.now_ < aUntil) {
      cluster.Schedule(
        Milliseconds(2), [this, aIncarnation, aNumber, aCall, aUntil] {
          AnswerHoldAfterEnd(aIncarnation, aNumber, aCall, aUntil);
        });
      return;
    }
    AnswerHold(aIncarnation, aNumber, runner->Hold(aCall, cluster.now_));
  }
  void AnswerHold(std::uint64_t aIncarnation,
                  std::uint64_t aNumber,
                  const job::HoldAnswer& aAnswer)
  {
    ReceiveLater(kRunnerNetworkDelay, [this, aIncarnation, aNumber, aAnswer] {
      if (incarnation == aIncarnation) {
        supervisor->OnHoldAnswered(aNumber, aAnswer, cluster.now_);
      }
    });
  }
  bool IsRunnerDown() const { return cluster.now_ < runnerDownUntil; }
  static job::HoldAnswer NotReached()
  {
    job::HoldAnswer answer;
    answer.result = job::HoldResult::NotReached;
    return answer;
  }
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override
  {
    auto entry = std::stoi(aEntry.Value().substr(aEntry.Value().find('-') + 1));
    cluster.ToEntry(index, entry, supervisor->Status(aEntry, cluster.now_));
    cluster.ToEntry(index, entry, std::move(aMessage));
  }
  void OnRunEnded(const job::RunEnded&) override {}
  void OnUnexpectedRun(const job::RunKey&) override {}
  void SaveReport(const job::RunnerReport&) override {}
  void OnRunnerAdopted(const job::RunnerReport&, std::uint64_t) override {}
  void OnReportIgnored(const job::RunnerReport&) override {}
  void OnRunnerReleased(const job::RunnerReleased&) override
  {
    AnswerAnnouncement();
  }
  void AnswerAnnouncement()
  {
    if (!isLeaving || cluster.now_ < answersLostUntil) {
      return;
    }
    auto born = runner->Identity().startedMs;
    cluster.Schedule(kRunnerNetworkDelay, [this, born] {
      if (runner->Identity().startedMs == born) {
        cluster.EndLeavingRunner(index);
      }
    });
  }

  SimulatedJobCluster& cluster;
  int index;
  std::uint64_t incarnation = 0;
  std::unique_ptr<FakeRunner> runner;
  job::ControlView control;
  std::unique_ptr<job::RunSupervisor> supervisor;
  MonotonicTime reportAt;
  std::uint64_t sentStatus = 0;
  MonotonicTime statusAt;
  MonotonicTime frozenUntil;
  /** Until then, nothing listens at the runner's address. */
  MonotonicTime runnerDownUntil;
  MonotonicTime runnerSilentUntil;
  MonotonicTime stopsLostUntil;
  /** The runner has announced that it shuts down and hasn't ended. */
  bool isLeaving = false;
  MonotonicTime answersLostUntil;
  /** What the process will find in its sockets when it goes on. */
  std::vector<std::function<void()>> unread;
};

SimulatedJobCluster::SimulatedJobCluster(JobClusterOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed)
{
  for (int i = 0; i < options_.entries; ++i) {
    entries_.push_back(std::make_unique<EntryNode>(*this, i));
    KillEntry(i);
  }
  constexpr double kSlowness[] = { 1.0, 1.6, 0.7 };
  for (int i = 0; i < options_.agents; ++i) {
    agents_.push_back(std::make_unique<AgentNode>(*this, i));
    job::RunnerReport report;
    report.id = fmt::format("r{}", i);
    report.startedMs = 1'700'000'000'000 + i;
    report.service = kService;
    report.address = report.id;
    report.domain = FailureDomainId(DomainOf(i));
    report.capacity = { options_.cpu, 1'000'000, 0 };
    auto& node = *agents_.back();
    node.runner = std::make_unique<FakeRunner>(
      report,
      kSlowness[i % 3],
      RunnerObserver{
        [this, i](const job::RunKey& aKey) { OnStarted(i, aKey); },
        [this](const job::RunKey& aKey) { OnStopped(aKey); } });
    node.runner->runTimeOf = [this](const job::RunKey& aKey) {
      return callers_.at(aKey.job.Value()).load.work;
    };
    node.runner->SetClockRate(options_.runnerClockRate);
    node.runner->Crash(now_);
    StartAgent(i);
  }
  PublishControl();
  Tick();
  if (options_.connectDelay.count() == 0) {
    Run(Milliseconds(300));
  }
}

SimulatedJobCluster::~SimulatedJobCluster() = default;

FakeRunner&
SimulatedJobCluster::Runner(int aAgent)
{
  return *agents_[static_cast<std::size_t>(aAgent)]->runner;
}

bool
SimulatedJobCluster::HappensWith(double aShare)
{
  return std::uniform_real_distribution<double>()(random_) < aShare;
}

void
SimulatedJobCluster::SendToRunner(std::function<void()> aAction,
                                  std::function<void()> aOnLost)
{
  if (HappensWith(options_.lostCalls)) {
    aOnLost();
    return;
  }
  Schedule(kRunnerNetworkDelay, std::move(aAction));
}

void
SimulatedJobCluster::Schedule(Milliseconds aDelay,
                              std::function<void()> aAction)
{
  events_.push_back({ now_ + aDelay, order_++, std::move(aAction) });
  std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void
SimulatedJobCluster::Run(Milliseconds aFor)
{
  auto until = now_ + aFor;
  while (!events_.empty() && events_.front().at <= until) {
    std::pop_heap(events_.begin(), events_.end(), std::greater<>());
    auto event = std::move(events_.back());
    events_.pop_back();
    now_ = event.at;
    event.action();
  }
  now_ = until;
}

void
SimulatedJobCluster::StartAgent(int aAgent)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  ++node.incarnation;
  node.control = {};
  node.frozenUntil = {};
  node.unread.clear();
  node.supervisor =
    std::make_unique<job::RunSupervisor>(UpstreamId(std::to_string(aAgent)),
                                         Incarnation(node.incarnation),
                                         job::RunSupervisorLimits{},
                                         node.control,
                                         node);
  node.reportAt = now_;
}

void
SimulatedJobCluster::KillAgent(int aAgent)
{
  for (int i = 0; i < options_.entries; ++i) {
    Unlink(i, aAgent);
  }
  StartAgent(aAgent);
  PublishControl();
}

void
SimulatedJobCluster::FreezeAgent(int aAgent, Milliseconds aFor)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  node.frozenUntil = now_ + aFor;
  Schedule(aFor, [this, &node] {
    if (IsFrozen(node.index)) {
      return;
    }
    auto unread = std::move(node.unread);
    node.unread.clear();
    for (const auto& receive : unread) {
      receive();
    }
  });
}

bool
SimulatedJobCluster::IsFrozen(int aAgent) const
{
  return now_ < agents_[static_cast<std::size_t>(aAgent)]->frozenUntil;
}

void
SimulatedJobCluster::WhenAwake(int aAgent, std::function<void()> aAction)
{
  if (IsFrozen(aAgent)) {
    agents_[static_cast<std::size_t>(aAgent)]->unread.push_back(
      std::move(aAction));
    return;
  }
  aAction();
}

void
SimulatedJobCluster::LoseStops(int aAgent, Milliseconds aFor)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  node.stopsLostUntil = std::max(node.stopsLostUntil, now_ + aFor);
}

void
SimulatedJobCluster::SilenceRunner(int aAgent, Milliseconds aFor)
{
  agents_[static_cast<std::size_t>(aAgent)]->runnerSilentUntil = now_ + aFor;
}

void
SimulatedJobCluster::FreezeEntry(int aEntry, Milliseconds aFor)
{
  auto& node = *entries_[static_cast<std::size_t>(aEntry)];
  node.frozenUntil = std::max(node.frozenUntil, now_ + aFor);
  Schedule(aFor, [this, &node] {
    if (now_ < node.frozenUntil) {
      return;
    }
    auto unread = std::move(node.unread);
    node.unread.clear();
    for (const auto& receive : unread) {
      receive();
    }
  });
}

void
SimulatedJobCluster::WhenEntryAwake(int aEntry, std::function<void()> aAction)
{
  auto& node = *entries_[static_cast<std::size_t>(aEntry)];
  if (now_ < node.frozenUntil) {
    node.unread.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void
SimulatedJobCluster::LoseCallers(int aEntry)
{
  auto& node = *entries_[static_cast<std::size_t>(aEntry)];
  auto lost = std::move(node.waiters);
  node.waiters.clear();
  for (const auto& item : lost) {
    auto waiter = item.first;
    const auto& id = item.second;
    ScheduleRetry(id);
    // The entry looks for disconnected callers every 100 ms.
    Schedule(Milliseconds(random_() % 100),
             [this, &node, waiter, id, ofIncarnation = node.incarnation] {
               if (node.incarnation == ofIncarnation) {
                 WhenEntryAwake(node.index, [&node, waiter, id] {
                   node.dispatcher->OnWaiterDisconnected(SubmissionId(id),
                                                         waiter);
                 });
               }
             });
  }
}

void
SimulatedJobCluster::KillEntry(int aEntry, Milliseconds aDownFor)
{
  auto& node = *entries_[static_cast<std::size_t>(aEntry)];
  auto waiters = std::move(node.waiters);
  node.waiters.clear();
  for (const auto& link : node.links) {
    ++linkGenerations_[{ aEntry, link.first }];
  }
  node.links.clear();
  node.frozenUntil = {};
  node.unread.clear();
  ++node.incarnation;
  node.control = {};
  node.dispatcher = std::make_unique<job::JobDispatcher>(
    job::JobDispatcherLimits{}, node.control, random_(), node);
  node.startedAt = now_ + aDownFor;
  node.dispatcher->BeginWarmUp(node.startedAt);
  for (const auto& [waiter, id] : waiters) {
    ScheduleRetry(id);
  }
  PublishControl();
}

void
SimulatedJobCluster::PublishControl()
{
  protocol::ControlUpdate update;
  update.revision = ++revision_;
  for (const auto& [domain, when] : closedAt_) {
    update.closedDomains.emplace_back(domain);
  }
  Schedule(kControlDelay, [this, update] {
    for (auto& node : entries_) {
      node->control.Adopt(update);
    }
    for (auto& item : agents_) {
      WhenAwake(item->index, [this, node = item.get(), update] {
        if (node->control.Adopt(update)) {
          node->supervisor->OnControlChanged(now_);
        }
      });
    }
  });
}

void
SimulatedJobCluster::Close(int aDomain)
{
  closedAt_[fmt::format("domain-{}", aDomain)] = now_;
  PublishControl();
}

void
SimulatedJobCluster::Open(int aDomain)
{
  closedAt_.erase(fmt::format("domain-{}", aDomain));
  PublishControl();
}

void
SimulatedJobCluster::Cut(int aEntry, int aAgent)
{
  cuts_.insert({ aEntry, aAgent });
}

void
SimulatedJobCluster::CutWithReset(int aEntry, int aAgent)
{
  Cut(aEntry, aAgent);
  Unlink(aEntry, aAgent);
}

void
SimulatedJobCluster::Recover(int aEntry, int aAgent)
{
  cuts_.erase({ aEntry, aAgent });
  auto held = std::move(heldFrames_[{ aEntry, aAgent }]);
  heldFrames_.erase({ aEntry, aAgent });
  for (auto& deliver : held) {
    Schedule(kNetworkDelay, std::move(deliver));
  }
}

void
SimulatedJobCluster::Link(int aEntry, int aAgent)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  auto& agent = *agents_[static_cast<std::size_t>(aAgent)];
  EntryId name(EntryName(aEntry));
  entry.links[aAgent] = now_;
  auto awaited =
    entry.dispatcher->OnAgentUp(agent.supervisor->Status(name, now_), now_);
  agent.supervisor->OnResume(
    { name, Incarnation(entry.incarnation), std::move(awaited) }, now_);
  agent.supervisor->OnRevalidated(name, now_);
  entry.dispatcher->OnAgentResumed(UpstreamId(std::to_string(aAgent)));
}

void
SimulatedJobCluster::Unlink(int aEntry, int aAgent)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  if (entry.links.erase(aAgent) != 0) {
    ++linkGenerations_[{ aEntry, aAgent }];
    entry.dispatcher->OnAgentDown(UpstreamId(std::to_string(aAgent)), now_);
  }
}

void
SimulatedJobCluster::Deliver(int aEntry,
                             int aAgent,
                             std::function<void()> aAction)
{
  std::pair pair(aEntry, aAgent);
  if (!entries_[static_cast<std::size_t>(aEntry)]->links.contains(aAgent)) {
    return;
  }
  auto deliver = [this,
                  pair,
                  generation = linkGenerations_[pair],
                  action = std::move(aAction)] {
    if (linkGenerations_[pair] == generation) {
      action();
    }
  };
  if (cuts_.contains(pair)) {
    heldFrames_[pair].push_back(deliver);
    return;
  }
  Schedule(kNetworkDelay, deliver);
}

void
SimulatedJobCluster::ToAgent(int aEntry, int aAgent, protocol::Message aMessage)
{
  auto& agent = *agents_[static_cast<std::size_t>(aAgent)];
  Deliver(
    aEntry, aAgent, [this, aEntry, &agent, message = std::move(aMessage)] {
      WhenAwake(agent.index, [this, aEntry, &agent, message] {
        EntryId name(EntryName(aEntry));
        if (const auto* order = std::get_if<protocol::RunOrder>(&message)) {
          agent.supervisor->OnOrder(name, *order, now_);
        }
        if (const auto* cancel = std::get_if<protocol::RunCancel>(&message)) {
          agent.supervisor->OnCancel(name, *cancel, now_);
        }
      });
    });
}

void
SimulatedJobCluster::ToEntry(int aAgent, int aEntry, protocol::Message aMessage)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  Deliver(
    aEntry, aAgent, [this, aAgent, &entry, message = std::move(aMessage)] {
      WhenEntryAwake(entry.index, [this, aAgent, &entry, message] {
        if (const auto* status =
              std::get_if<protocol::UpstreamStatus>(&message)) {
          entry.dispatcher->OnStatus(*status, now_);
        }
        if (const auto* lost = std::get_if<protocol::LostRuns>(&message)) {
          entry.dispatcher->OnLostRuns(
            UpstreamId(std::to_string(aAgent)), *lost, now_);
        }
        if (const auto* report = std::get_if<protocol::RunReport>(&message)) {
          entry.dispatcher->OnReport(
            UpstreamId(std::to_string(aAgent)), *report, now_);
        }
      });
    });
}

void
SimulatedJobCluster::TickAgent(AgentNode& aNode)
{
  if (now_ >= aNode.reportAt && !aNode.IsRunnerDown()) {
    aNode.reportAt = now_ + kReportInterval;
    aNode.supervisor->OnRunnerReport(aNode.runner->Report(now_), now_);
  }
  aNode.supervisor->OnTick(now_);
}

void
SimulatedJobCluster::Tick()
{
  for (auto& node : agents_) {
    node->runner->Advance(now_);
    bool isFrozen = IsFrozen(node->index);
    if (!isFrozen) {
      TickAgent(*node);
    }
    bool isDue = !isFrozen &&
                 node->sentStatus != node->supervisor->StatusRevision() &&
                 now_ - node->statusAt >= options_.statusInterval;
    for (auto& entry : entries_) {
      auto found = entry->links.find(node->index);
      bool isCut = isFrozen || now_ < entry->frozenUntil ||
                   cuts_.contains({ entry->index, node->index });
      if (found == entry->links.end()) {
        bool isConnected = now_ - entry->startedAt >= options_.connectDelay;
        if (!isCut && isConnected) {
          Link(entry->index, node->index);
        }
        continue;
      }
      EntryId name(EntryName(entry->index));
      if (!isCut && now_ - found->second >= kHeartbeatInterval) {
        found->second = now_;
        // An echo must not overtake frames that were held up.
        Deliver(
          entry->index,
          node->index,
          [this, agent = node.get(), name, sentAt = now_ - kNetworkDelay] {
            WhenAwake(agent->index, [agent, name, sentAt] {
              agent->supervisor->OnRevalidated(name, sentAt);
            });
          });
        entry->dispatcher->OnAgentHeard(UpstreamId(std::to_string(node->index)),
                                        now_);
      }
      if (isCut && now_ - found->second >= kLinkTimeout) {
        Unlink(entry->index, node->index);
        continue;
      }
      if (isDue) {
        ToEntry(
          node->index, entry->index, node->supervisor->Status(name, now_));
      }
    }
    if (isDue) {
      node->sentStatus = node->supervisor->StatusRevision();
      node->statusAt = now_;
    }
  }
  for (auto& entry : entries_) {
    if (now_ >= entry->frozenUntil) {
      entry->dispatcher->OnTick(now_);
    }
  }
  Schedule(kTickInterval, [this] { Tick(); });
}

std::string
SimulatedJobCluster::Submit(const JobLoad& aLoad)
{
  auto id = fmt::format("{:016x}", nextId_++);
  callers_[id] = { aLoad, now_ };
  Send(callers_[id], id);
  return id;
}

SimulatedJobCluster::EntryNode&
SimulatedJobCluster::PickRunningEntry()
{
  for (;;) {
    auto& entry = *entries_[random_() % entries_.size()];
    if (now_ >= entry.startedAt) {
      return entry;
    }
  }
}

void
SimulatedJobCluster::Send(Caller& aCaller, const std::string& aId)
{
  auto remaining =
    aCaller.load.callerTimeout -
    std::chrono::duration_cast<Milliseconds>(now_ - aCaller.firstSent);
  if (remaining.count() <= 0) {
    outcomes_[aId] = {};
    return;
  }
  auto& entry = PickRunningEntry();
  ++aCaller.attempts;
  WaiterId waiter(nextWaiter_++);
  entry.waiters[waiter] = aId;
  job::JobRequest request;
  request.id = SubmissionId(aId);
  request.route.name = "route";
  request.route.service = kService;
  request.route.priority = aCaller.load.priority;
  request.route.maxAttempts = aCaller.load.maxAttempts;
  request.route.stretch = aCaller.load.stretch;
  request.route.targetLatencyMs = aCaller.load.targetMs;
  request.tasks = aCaller.load.tasks;
  request.demand = { 1000, 64, 0 };
  // Callers' estimates deviate by up to 30%.
  constexpr double kEstimateError = 0.3;
  auto factor =
    1 + kEstimateError * (2 * std::uniform_real_distribution<>()(random_) - 1);
  request.estimate =
    std::chrono::duration_cast<Milliseconds>(aCaller.load.work * factor);
  request.arrival = now_;
  request.deadline = now_ + remaining;
  WhenEntryAwake(entry.index, [this, &entry, request, waiter] {
    entry.dispatcher->Submit(request, waiter, now_);
  });
}

void
SimulatedJobCluster::ScheduleRetry(const std::string& aId)
{
  callers_[aId].onlyRejections = false;
  Schedule(kCallerRetry, [this, aId] { Send(callers_[aId], aId); });
}

void
SimulatedJobCluster::OnAnswer(int aEntry,
                              WaiterId aWaiter,
                              const job::JobAnswer& aAnswer)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  auto waiting = entry.waiters.find(aWaiter);
  if (waiting == entry.waiters.end()) {
    return;
  }
  auto id = waiting->second;
  entry.waiters.erase(waiting);
  auto& caller = callers_.at(id);
  auto elapsed =
    std::chrono::duration_cast<Milliseconds>(now_ - caller.firstSent);
  auto goal =
    Milliseconds(static_cast<std::int64_t>(
      static_cast<double>(caller.load.work.count()) * caller.load.stretch)) +
    Milliseconds(caller.load.targetMs);
  bool isDone = aAnswer.state == job::JobState::Completed;
  outcomes_[id] = { aAnswer.state, true, elapsed, isDone && elapsed <= goal };
  if (aAnswer.state == job::JobState::GivenUp) {
    ScheduleRetry(id);
    return;
  }
  bool isFalseRejection = aAnswer.state == job::JobState::Rejected &&
                          caller.onlyRejections &&
                          startedJobs_.contains(SubmissionId(id));
  if (isFalseRejection) {
    violations_.push_back("rejected although a task had started: " + id);
  }
}

void
SimulatedJobCluster::OnStarted(int aAgent, const job::RunKey& aKey)
{
  ++starts_;
  auto& crashCount = crashCounts_[{ aKey.job, aKey.task.index }];
  bool isStartedTooOften =
    crashCount.crashes >= 3 && ++crashCount.startsAfterThree >= 3;
  if (isStartedTooOften) {
    violations_.push_back("three starts after three crashes: " +
                          aKey.job.Value());
  }
  if (crashesRunner && crashesRunner(aKey)) {
    Schedule(kCrashDelay, [this, aAgent, aKey] { CrashUnder(aAgent, aKey); });
  }
  auto& runner = Runner(aAgent);
  auto& count = running_[{ aKey.job, aKey.task.index }];
  if (++count > 1) {
    violations_.push_back("task runs twice at once: " + aKey.job.Value());
  }
  if (!runner.Capacity().Fits(runner.Used())) {
    violations_.push_back(
      fmt::format("runner {} exceeds its capacity", aAgent));
  }
  auto closed = closedAt_.find(DomainOf(aAgent));
  if (closed != closedAt_.end() &&
      now_ - closed->second > kClosePropagationLimit) {
    violations_.push_back("run started in a closed failure domain: " +
                          closed->first);
  }
  startedJobs_.insert(aKey.job);
  auto outcome = outcomes_.find(aKey.job.Value());
  bool isLate = outcome != outcomes_.end() &&
                outcome->second.state == job::JobState::Rejected &&
                callers_.at(aKey.job.Value()).onlyRejections;
  if (isLate) {
    violations_.push_back("run started after its job was rejected: " +
                          aKey.job.Value());
  }
}

void
SimulatedJobCluster::TakeDownRunner(int aAgent, Milliseconds aFor)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  node.runnerDownUntil = now_ + aFor;
  node.reportAt = node.runnerDownUntil;
  node.runner->Crash(now_);
}

void
SimulatedJobCluster::LeaveRunner(int aAgent, Milliseconds aStays)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  if (node.IsRunnerDown() || node.isLeaving) {
    return;
  }
  node.isLeaving = true;
  node.answersLostUntil = aStays.count() > 0 ? now_ + aStays : now_;
  node.runner->SetState(job::RunnerState::Draining);
  auto identity = node.runner->Identity();
  Schedule(kRunnerNetworkDelay, [this, &node, identity] {
    WhenAwake(node.index, [this, &node, identity] {
      auto answer =
        node.supervisor->OnRunnerLeaving(identity.id, identity.startedMs, now_);
      if (answer == job::AnnouncementAnswer::Now) {
        node.AnswerAnnouncement();
      }
    });
  });
  constexpr Milliseconds kUnansweredStay{ 3000 };
  Schedule(aStays.count() > 0 ? aStays : kUnansweredStay,
           [this, aAgent, identity] {
             if (Runner(aAgent).Identity().startedMs == identity.startedMs) {
               EndLeavingRunner(aAgent);
             }
           });
}

void
SimulatedJobCluster::EndLeavingRunner(int aAgent)
{
  constexpr Milliseconds kAway{ 800 };
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  node.isLeaving = false;
  node.runner->SetState(job::RunnerState::Ready);
  TakeDownRunner(aAgent, kAway);
}

void
SimulatedJobCluster::CrashUnder(int aAgent, const job::RunKey& aKey)
{
  if (!Runner(aAgent).IsRunning(aKey)) {
    return;
  }
  ++crashCounts_[{ aKey.job, aKey.task.index }].crashes;
  TakeDownRunner(aAgent, kRunnerRestart);
}

std::size_t
SimulatedJobCluster::CrashesUnder(const std::string& aJob) const
{
  std::size_t crashes = 0;
  for (const auto& [task, count] : crashCounts_) {
    if (task.first.Value() == aJob) {
      crashes += count.crashes;
    }
  }
  return crashes;
}

int
SimulatedJobCluster::EntryServing(const std::string& aJob) const
{
  for (const auto& entry : entries_) {
    for (const auto& [waiter, job] : entry->waiters) {
      if (job == aJob) {
        return entry->index;
      }
    }
  }
  return -1;
}

void
SimulatedJobCluster::OnStopped(const job::RunKey& aKey)
{
  --running_[{ aKey.job, aKey.task.index }];
}

double
SimulatedJobCluster::ServedInTime() const
{
  auto inTime =
    std::count_if(outcomes_.begin(), outcomes_.end(), [](const auto& aItem) {
      return aItem.second.inTime;
    });
  return static_cast<double>(inTime) / static_cast<double>(callers_.size());
}

double
SimulatedJobCluster::RejectedWithin(Milliseconds aTime) const
{
  std::size_t rejectedInTime = 0;
  for (const auto& [id, outcome] : outcomes_) {
    bool isRejected = outcome.state == job::JobState::Rejected;
    rejectedInTime += isRejected && outcome.elapsed <= aTime ? 1 : 0;
  }
  auto all = std::max<std::size_t>(Count(job::JobState::Rejected), 1);
  return static_cast<double>(rejectedInTime) / static_cast<double>(all);
}

std::size_t
SimulatedJobCluster::Count(job::JobState aState) const
{
  return static_cast<std::size_t>(std::count_if(
    outcomes_.begin(), outcomes_.end(), [aState](const auto& aItem) {
      return aItem.second.answered && aItem.second.state == aState;
    }));
}

}
