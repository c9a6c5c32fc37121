#include "Tests/LibJob/JobWorld.h"

#include <algorithm>
#include <fmt/format.h>

namespace vanillaworks::tests {

namespace {
constexpr Milliseconds kTravel{ 1 };
constexpr Milliseconds kRunnerTravel{ 1 };
constexpr Milliseconds kTick{ 25 };
constexpr Milliseconds kStatusEvery{ 24 };
constexpr Milliseconds kBeat{ 200 };
constexpr Milliseconds kReportEvery{ 1500 };
constexpr Milliseconds kSilence{ 1000 };
constexpr Milliseconds kCallerRetry{ 1300 };
constexpr Milliseconds kClosedAfter{ 2000 };
constexpr Milliseconds kNews{ 50 };
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

struct JobWorld::EntryNode final : public job::JobDispatcherPort
{
  EntryNode(JobWorld& aWorld, int aIndex)
    : world(aWorld)
    , index(aIndex)
  {
  }
  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override
  {
    world.ToAgent(index, std::stoi(aUpstream.Value()), std::move(aMessage));
  }
  void Answer(WaiterId aWaiter,
              const job::JobRequest&,
              const job::JobAnswer& aAnswer) override
  {
    world.OnAnswer(index, aWaiter, aAnswer);
  }
  void WakeSoon() override
  {
    world.At(Milliseconds(5), [this, ofLife = life] {
      if (life == ofLife) {
        dispatcher->OnWake(world.now_);
      }
    });
  }
  void OnPlaced(const job::TaskPlaced&) override {}
  void OnEnded(const job::TaskEnded&) override {}

  JobWorld& world;
  int index;
  job::ControlView control;
  std::unique_ptr<job::JobDispatcher> dispatcher;
  std::map<WaiterId, std::string> waiters;
  /** Linked agents, and when they were last heard of. */
  std::map<int, MonotonicTime> links;
  std::uint64_t life = 0;
  MonotonicTime startedAt;
};

struct JobWorld::AgentNode final : public job::RunKeeperPort
{
  AgentNode(JobWorld& aWorld, int aIndex)
    : world(aWorld)
    , index(aIndex)
  {
  }
  void CallStart(const job::StartCall& aCall) override
  {
    auto ofLife = life;
    auto answer = [this, ofLife, aCall](job::StartResult aResult) {
      world.At(kRunnerTravel, [this, ofLife, aCall, aResult] {
        if (life == ofLife) {
          keeper->OnStartAnswered(
            aCall.key, aCall.target.token, aResult, world.now_);
        }
      });
    };
    world.CallRunner(
      [this, answer, aCall] { answer(runner->Start(aCall, world.now_)); },
      [this, answer, aCall] {
        world.At(aCall.timeout,
                 [answer] { answer(job::StartResult::Unknown); });
        if (world.Chance(world.options_.lateCalls)) {
          world.At(Milliseconds(2000 + world.random_() % 6000),
                   [this, aCall] { runner->Start(aCall, world.now_); });
        }
      });
  }
  void CallStop(const job::StopCall& aCall) override
  {
    auto ofLife = life;
    auto answer = [this, ofLife, aCall](job::StopResult aResult) {
      world.At(kRunnerTravel, [this, ofLife, aCall, aResult] {
        if (life == ofLife) {
          keeper->OnStopAnswered(
            aCall.key, aCall.target.token, aResult, world.now_);
        }
      });
    };
    world.CallRunner(
      [this, answer, aCall] { answer(runner->Stop(aCall, world.now_)); },
      [this, answer, aCall] {
        world.At(aCall.timeout, [answer] { answer(job::StopResult::Unknown); });
      });
  }
  void CallHold(std::uint64_t aNumber, const job::HoldCall& aCall) override
  {
    auto ofLife = life;
    auto until = world.now_ + aCall.wait;
    world.CallRunner(
      [this, ofLife, aNumber, aCall, until] {
        runner->Hold(aCall, world.now_);
        AwaitEnd(ofLife, aNumber, aCall, until);
      },
      [this, ofLife, aNumber, aCall] {
        world.At(aCall.wait + Milliseconds(300), [this, ofLife, aNumber] {
          if (life == ofLife) {
            keeper->OnHoldAnswered(aNumber, {}, world.now_);
          }
        });
      });
  }
  void AwaitEnd(std::uint64_t aLife,
                std::uint64_t aNumber,
                const job::HoldCall& aCall,
                MonotonicTime aUntil)
  {
    runner->Advance(world.now_);
    if (!runner->HasNews(aCall) && world.now_ < aUntil) {
      world.At(Milliseconds(2), [this, aLife, aNumber, aCall, aUntil] {
        AwaitEnd(aLife, aNumber, aCall, aUntil);
      });
      return;
    }
    auto answer = runner->Hold(aCall, world.now_);
    world.At(kRunnerTravel, [this, aLife, aNumber, answer] {
      if (life == aLife) {
        keeper->OnHoldAnswered(aNumber, answer, world.now_);
      }
    });
  }
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override
  {
    auto entry = std::stoi(aEntry.Value().substr(aEntry.Value().find('-') + 1));
    world.ToEntry(index, entry, keeper->Status(aEntry, world.now_));
    world.ToEntry(index, entry, std::move(aMessage));
  }
  void OnRunEnded(const EntryId&,
                  const SubmissionId&,
                  const protocol::RunEnd&) override
  {
  }
  void OnRunnerLife(const job::RunnerReport&, std::uint64_t) override {}

  JobWorld& world;
  int index;
  std::uint64_t life = 0;
  std::unique_ptr<FakeRunner> runner;
  job::ControlView control;
  std::unique_ptr<job::RunKeeper> keeper;
  MonotonicTime reportAt;
  std::uint64_t sentStatus = 0;
  MonotonicTime statusAt;
};

JobWorld::JobWorld(WorldOptions aOptions)
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
    report.born = 1'700'000'000'000 + i;
    report.service = kService;
    report.address = report.id;
    report.domain = FailureDomainId(DomainOf(i));
    report.capacity = { options_.cpu, 1'000'000, 0 };
    auto& node = *agents_.back();
    node.runner = std::make_unique<FakeRunner>(
      report,
      kSlowness[i % 3],
      RunnerWatcher{ [this, i](const job::RunKey& aKey) { OnStarted(i, aKey); },
                     [this](const job::RunKey& aKey) { OnStopped(aKey); } });
    node.runner->workOf = [this](const job::RunKey& aKey) {
      return callers_.at(aKey.job.Value()).load.work;
    };
    node.runner->Crash(now_);
    StartAgent(i);
  }
  TellControl();
  Tick();
  if (options_.linksAfter.count() == 0) {
    Run(Milliseconds(300));
  }
}

JobWorld::~JobWorld() = default;

FakeRunner&
JobWorld::Runner(int aAgent)
{
  return *agents_[static_cast<std::size_t>(aAgent)]->runner;
}

bool
JobWorld::Chance(double aShare)
{
  return std::uniform_real_distribution<double>()(random_) < aShare;
}

void
JobWorld::CallRunner(std::function<void()> aWhat, std::function<void()> aLost)
{
  if (Chance(options_.lostCalls)) {
    aLost();
    return;
  }
  At(kRunnerTravel, std::move(aWhat));
}

void
JobWorld::At(Milliseconds aIn, std::function<void()> aWhat)
{
  events_.push_back({ now_ + aIn, order_++, std::move(aWhat) });
  std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void
JobWorld::Run(Milliseconds aFor)
{
  auto until = now_ + aFor;
  while (!events_.empty() && events_.front().at <= until) {
    std::pop_heap(events_.begin(), events_.end(), std::greater<>());
    auto event = std::move(events_.back());
    events_.pop_back();
    now_ = event.at;
    event.what();
  }
  now_ = until;
}

void
JobWorld::StartAgent(int aAgent)
{
  auto& node = *agents_[static_cast<std::size_t>(aAgent)];
  ++node.life;
  node.control = {};
  node.keeper =
    std::make_unique<job::RunKeeper>(UpstreamId(std::to_string(aAgent)),
                                     Incarnation(node.life),
                                     job::RunKeeperLimits{},
                                     node.control,
                                     node);
  node.reportAt = now_;
}

void
JobWorld::KillAgent(int aAgent)
{
  for (int i = 0; i < options_.entries; ++i) {
    Unlink(i, aAgent);
  }
  StartAgent(aAgent);
  TellControl();
}

void
JobWorld::KillEntry(int aEntry)
{
  auto& node = *entries_[static_cast<std::size_t>(aEntry)];
  auto waiters = std::move(node.waiters);
  node.waiters.clear();
  for (const auto& link : node.links) {
    ++linkLife_[{ aEntry, link.first }];
  }
  node.links.clear();
  ++node.life;
  node.control = {};
  node.dispatcher = std::make_unique<job::JobDispatcher>(
    job::JobDispatcherLimits{}, node.control, random_(), node);
  node.dispatcher->BeginWarmUp(now_);
  node.startedAt = now_;
  for (const auto& [waiter, id] : waiters) {
    AskAgain(id);
  }
  TellControl();
}

void
JobWorld::TellControl()
{
  protocol::ControlUpdate update;
  update.revision = ++revision_;
  for (const auto& [domain, when] : closedAt_) {
    update.closedDomains.emplace_back(domain);
  }
  At(kNews, [this, update] {
    for (auto& node : entries_) {
      node->control.Adopt(update);
    }
    for (auto& node : agents_) {
      if (node->control.Adopt(update)) {
        node->keeper->OnControlChanged(now_);
      }
    }
  });
}

void
JobWorld::Close(int aDomain)
{
  closedAt_[fmt::format("domain-{}", aDomain)] = now_;
  TellControl();
}

void
JobWorld::Open(int aDomain)
{
  closedAt_.erase(fmt::format("domain-{}", aDomain));
  TellControl();
}

void
JobWorld::Cut(int aEntry, int aAgent)
{
  cuts_.insert({ aEntry, aAgent });
}

void
JobWorld::Heal(int aEntry, int aAgent)
{
  cuts_.erase({ aEntry, aAgent });
  auto held = std::move(held_[{ aEntry, aAgent }]);
  held_.erase({ aEntry, aAgent });
  for (auto& deliver : held) {
    At(kTravel, std::move(deliver));
  }
}

void
JobWorld::Link(int aEntry, int aAgent)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  auto& agent = *agents_[static_cast<std::size_t>(aAgent)];
  EntryId name(EntryName(aEntry));
  entry.links[aAgent] = now_;
  auto awaited =
    entry.dispatcher->OnAgentUp(agent.keeper->Status(name, now_), now_);
  agent.keeper->OnResume({ name, Incarnation(entry.life), std::move(awaited) },
                         now_);
  agent.keeper->OnVouched(name, now_);
  entry.dispatcher->OnAgentResumed(UpstreamId(std::to_string(aAgent)));
}

void
JobWorld::Unlink(int aEntry, int aAgent)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  if (entry.links.erase(aAgent) != 0) {
    ++linkLife_[{ aEntry, aAgent }];
    entry.dispatcher->OnAgentDown(UpstreamId(std::to_string(aAgent)), now_);
  }
}

void
JobWorld::Carry(int aEntry, int aAgent, std::function<void()> aWhat)
{
  std::pair pair(aEntry, aAgent);
  if (!entries_[static_cast<std::size_t>(aEntry)]->links.contains(aAgent)) {
    return;
  }
  auto deliver = [this, pair, life = linkLife_[pair], what = std::move(aWhat)] {
    if (linkLife_[pair] == life) {
      what();
    }
  };
  if (cuts_.contains(pair)) {
    held_[pair].push_back(deliver);
    return;
  }
  At(kTravel, deliver);
}

void
JobWorld::ToAgent(int aEntry, int aAgent, protocol::Message aMessage)
{
  auto& agent = *agents_[static_cast<std::size_t>(aAgent)];
  Carry(aEntry, aAgent, [this, aEntry, &agent, message = std::move(aMessage)] {
    EntryId name(EntryName(aEntry));
    if (const auto* order = std::get_if<protocol::RunOrder>(&message)) {
      agent.keeper->OnOrder(name, *order, now_);
    }
    if (const auto* cancel = std::get_if<protocol::RunCancel>(&message)) {
      agent.keeper->OnCancel(name, *cancel, now_);
    }
  });
}

void
JobWorld::ToEntry(int aAgent, int aEntry, protocol::Message aMessage)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  Carry(aEntry, aAgent, [this, aAgent, &entry, message = std::move(aMessage)] {
    if (const auto* status = std::get_if<protocol::UpstreamStatus>(&message)) {
      entry.dispatcher->OnStatus(*status, now_);
    }
    if (const auto* report = std::get_if<protocol::RunReport>(&message)) {
      entry.dispatcher->OnReport(
        UpstreamId(std::to_string(aAgent)), *report, now_);
    }
  });
}

void
JobWorld::Tick()
{
  for (auto& node : agents_) {
    node->runner->Advance(now_);
    if (now_ >= node->reportAt) {
      node->reportAt = now_ + kReportEvery;
      node->keeper->OnRunnerReport(node->runner->Report(now_), now_);
    }
    node->keeper->OnTick(now_);
    bool isDue = node->sentStatus != node->keeper->StatusRevision() &&
                 now_ - node->statusAt >= kStatusEvery;
    for (auto& entry : entries_) {
      auto found = entry->links.find(node->index);
      bool isCut = cuts_.contains({ entry->index, node->index });
      if (found == entry->links.end()) {
        bool isDialled = now_ - entry->startedAt >= options_.linksAfter;
        if (!isCut && isDialled) {
          Link(entry->index, node->index);
        }
        continue;
      }
      EntryId name(EntryName(entry->index));
      if (!isCut && now_ - found->second >= kBeat) {
        found->second = now_;
        node->keeper->OnVouched(name, now_ - kTravel);
        entry->dispatcher->OnAgentHeard(UpstreamId(std::to_string(node->index)),
                                        now_);
      }
      if (isCut && now_ - found->second >= kSilence) {
        Unlink(entry->index, node->index);
        continue;
      }
      if (isDue) {
        ToEntry(node->index, entry->index, node->keeper->Status(name, now_));
      }
    }
    if (isDue) {
      node->sentStatus = node->keeper->StatusRevision();
      node->statusAt = now_;
    }
  }
  for (auto& entry : entries_) {
    entry->dispatcher->OnTick(now_);
  }
  At(kTick, [this] { Tick(); });
}

std::string
JobWorld::Submit(const JobLoad& aLoad)
{
  auto id = fmt::format("{:016x}", nextId_++);
  callers_[id] = { aLoad, now_ };
  Send(callers_[id], id);
  return id;
}

void
JobWorld::Send(Caller& aCaller, const std::string& aId)
{
  auto left = aCaller.load.patience - std::chrono::duration_cast<Milliseconds>(
                                        now_ - aCaller.firstSent);
  if (left.count() <= 0) {
    outcomes_[aId] = {};
    return;
  }
  auto& entry = *entries_[random_() % entries_.size()];
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
  request.room = { 1000, 64, 0 };
  // Callers' estimates are far off.
  constexpr double kOff = 0.3;
  auto factor =
    1 + kOff * (2 * std::uniform_real_distribution<>()(random_) - 1);
  request.estimate =
    std::chrono::duration_cast<Milliseconds>(aCaller.load.work * factor);
  request.arrival = now_;
  request.deadline = now_ + left;
  entry.dispatcher->Submit(std::move(request), waiter, now_);
}

void
JobWorld::AskAgain(const std::string& aId)
{
  callers_[aId].rejectedAll = false;
  At(kCallerRetry, [this, aId] { Send(callers_[aId], aId); });
}

void
JobWorld::OnAnswer(int aEntry, WaiterId aWaiter, const job::JobAnswer& aAnswer)
{
  auto& entry = *entries_[static_cast<std::size_t>(aEntry)];
  auto id = entry.waiters.at(aWaiter);
  entry.waiters.erase(aWaiter);
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
    AskAgain(id);
    return;
  }
  bool isFalse = aAnswer.state == job::JobState::Rejected &&
                 caller.rejectedAll && everStarted_.contains(SubmissionId(id));
  if (isFalse) {
    broken_.push_back("rejected, but a task had started: " + id);
  }
}

void
JobWorld::OnStarted(int aAgent, const job::RunKey& aKey)
{
  ++starts_;
  auto& runner = Runner(aAgent);
  auto& count = running_[{ aKey.job, aKey.task.index }];
  if (++count > 1) {
    broken_.push_back("runs twice at once: " + aKey.job.Value());
  }
  if (!runner.Capacity().Fits(runner.Used())) {
    broken_.push_back(fmt::format("runner {} is over its room", aAgent));
  }
  auto closed = closedAt_.find(DomainOf(aAgent));
  if (closed != closedAt_.end() && now_ - closed->second > kClosedAfter) {
    broken_.push_back("started in a closed domain: " + closed->first);
  }
  everStarted_.insert(aKey.job);
  auto outcome = outcomes_.find(aKey.job.Value());
  bool isLate = outcome != outcomes_.end() &&
                outcome->second.state == job::JobState::Rejected &&
                callers_.at(aKey.job.Value()).rejectedAll;
  if (isLate) {
    broken_.push_back("started after it was rejected: " + aKey.job.Value());
  }
}

void
JobWorld::OnStopped(const job::RunKey& aKey)
{
  --running_[{ aKey.job, aKey.task.index }];
}

double
JobWorld::ServedInTime() const
{
  auto inTime =
    std::count_if(outcomes_.begin(), outcomes_.end(), [](const auto& aItem) {
      return aItem.second.inTime;
    });
  return static_cast<double>(inTime) / static_cast<double>(callers_.size());
}

double
JobWorld::RejectedWithin(Milliseconds aTime) const
{
  std::size_t early = 0;
  for (const auto& [id, outcome] : outcomes_) {
    bool isRejected = outcome.state == job::JobState::Rejected;
    early += isRejected && outcome.elapsed <= aTime ? 1 : 0;
  }
  auto all = std::max<std::size_t>(Count(job::JobState::Rejected), 1);
  return static_cast<double>(early) / static_cast<double>(all);
}

std::size_t
JobWorld::Count(job::JobState aState) const
{
  return static_cast<std::size_t>(std::count_if(
    outcomes_.begin(), outcomes_.end(), [aState](const auto& aItem) {
      return aItem.second.answered && aItem.second.state == aState;
    }));
}

}
