#include "Tests/LibDispatch/SimulatedCluster.h"

#include "LibDispatch/LearnedRouting.h"
#include "LibPlatform/PatchWriter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaworks::test {

namespace {
using namespace std::chrono_literals;
using Json = nlohmann::json;
using dispatch::AnswerState;
constexpr auto kStep = 50ms;
constexpr auto kPollInterval = 1000ms;
/** The bound of 3 s on closing a domain, plus one step of the clock. */
constexpr auto kMaxCloseDelay = 3000ms + kStep;

std::string
DomainName(std::size_t aAgent)
{
  return "domain-" + std::to_string(aAgent);
}

std::string
PayloadOf(const protocol::TaskKey& aKey)
{
  return aKey.submission.Value() + ":" + std::to_string(aKey.index);
}
}

void
InvariantChecker::OnStart(const protocol::Start& aTask,
                          const std::string& aDomain,
                          MonotonicTime aNow)
{
  if (++starts[aTask.key] > 1) {
    violations.push_back("task started twice: " + PayloadOf(aTask.key));
  }
  auto closed = closedSince.find(aDomain);
  if (closed != closedSince.end() && aNow - closed->second > kMaxCloseDelay) {
    violations.push_back("task started in closed domain " + aDomain);
  }
}

void
InvariantChecker::OnAnswer(WaiterId aWaiter, const dispatch::Answer& aAnswer)
{
  if (!answers.emplace(aWaiter, aAnswer).second) {
    violations.emplace_back("caller answered twice");
  }
  if (aAnswer.state != AnswerState::Complete) {
    if (!aAnswer.tasks.empty()) {
      violations.emplace_back("incomplete answer contains results");
    }
    return;
  }
  bool isWhole = aAnswer.tasks.size() == taskCounts[aAnswer.submission];
  for (std::uint32_t i = 0; isWhole && i < aAnswer.tasks.size(); ++i) {
    isWhole = aAnswer.tasks[i].payload == PayloadOf({ aAnswer.submission, i });
  }
  if (!isWhole) {
    violations.push_back("complete answer with missing or wrong results: " +
                         aAnswer.submission.Value());
  }
}

void
InvariantChecker::CheckNotRun()
{
  for (const auto& [waiter, answer] : answers) {
    for (const auto& [key, count] : starts) {
      if (answer.state == AnswerState::NotRun &&
          key.submission == answer.submission) {
        violations.push_back("answered \"not run\" but the task started: " +
                             PayloadOf(key));
      }
    }
  }
}

struct SimAgent final : dispatch::AgentPort
{
  struct Running
  {
    protocol::TaskKey key;
    MonotonicTime ends;
  };

  SimAgent(SimulatedCluster& aCluster, std::size_t aIndex)
    : cluster(aCluster)
    , index(aIndex)
  {
    Restart();
  }

  void Restart()
  {
    hello.upstream = UpstreamId("u" + std::to_string(index));
    hello.incarnation = Incarnation(cluster.nextIncarnation_++);
    hello.domain = FailureDomainId(DomainName(index));
    hello.kinds = { TaskKind("k") };
    hello.slots = 2;
    dispatch::AgentLimits limits;
    limits.gate.slots = 2;
    limits.queue = 2;
    configuration = std::make_unique<dispatch::ConfigurationHolder>();
    core = std::make_unique<dispatch::AgentCore>(
      hello, limits, *configuration, *this);
    // Tasks running on the upstream continue, but nobody gets their results.
    running.clear();
  }

  void RunOnUpstream(const protocol::Start& aTask, MonotonicTime) override
  {
    cluster.checker_.OnStart(aTask, hello.domain.Value(), cluster.now_);
    auto time = Milliseconds(200 + 150 * (aTask.key.index % 4));
    running.push_back({ aTask.key, cluster.now_ + time });
  }

  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override
  {
    auto entry = static_cast<std::size_t>(std::stoi(aEntry.Value().substr(1)));
    Send(entry, std::move(aMessage));
  }

  void Send(std::size_t aEntry, protocol::Message aMessage)
  {
    auto& channel = cluster.ChannelOf(aEntry, index);
    if (!channel.up) {
      return;
    }
    protocol::Header header;
    header.sentAt = ToMicroseconds(cluster.now_);
    header.version = configuration->Current()->version;
    header.occupancy = core->Occupancy();
    channel.toEntry.push_back({ header, std::move(aMessage) });
  }

  void CountRefusal(protocol::RefusalReason) override {}

  void Step()
  {
    for (auto task = running.begin(); task != running.end();) {
      if (task->ends > cluster.now_) {
        ++task;
        continue;
      }
      auto key = task->key;
      task = running.erase(task);
      core->OnTaskEnded(key,
                        protocol::ResultCode::Completed,
                        PayloadOf(key),
                        300ms,
                        cluster.now_);
      task = running.begin();
    }
    core->OnTick(cluster.now_);
  }

  SimulatedCluster& cluster;
  std::size_t index;
  protocol::AgentHello hello;
  std::unique_ptr<dispatch::ConfigurationHolder> configuration;
  std::unique_ptr<dispatch::AgentCore> core;
  std::vector<Running> running;
  bool paused = false;
};

struct SimEntry final : dispatch::DispatcherPort
{
  SimEntry(SimulatedCluster& aCluster, std::size_t aIndex)
    : cluster(aCluster)
    , index(aIndex)
  {
    Restart();
  }

  EntryId Name() const { return EntryId("e" + std::to_string(index)); }

  void Restart()
  {
    dispatcher.reset();
    configuration = std::make_unique<dispatch::ConfigurationHolder>();
    batcher = std::make_unique<platform::OperationBatcher>(
      cluster.table_, cluster.objects_, platform::OperationBatcherLimits{});
    dispatch::DispatcherLimits limits;
    limits.placementTimeout = 1h;
    dispatcher = std::make_unique<dispatch::Dispatcher>(
      dispatch::EntryIdentity{ Name(),
                               Incarnation(cluster.nextIncarnation_++) },
      limits,
      std::make_unique<dispatch::LearnedRouting>(1),
      *configuration,
      *this);
    tableRead.reset();
    nextPoll = cluster.now_;
    claimPolls.clear();
    acknowledged.clear();
    echoes.clear();
  }

  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override
  {
    auto agent =
      static_cast<std::size_t>(std::stoi(aUpstream.Value().substr(1)));
    auto& channel = cluster.ChannelOf(index, agent);
    if (!channel.up) {
      return;
    }
    protocol::Header header;
    header.sentAt = ToMicroseconds(cluster.now_);
    header.echo = echoes[agent];
    header.version = configuration->Current()->version;
    if (tableRead) {
      header.versionAgeUs =
        std::chrono::duration_cast<Microseconds>(cluster.now_ - *tableRead)
          .count();
    }
    header.acknowledged.swap(acknowledged[agent]);
    channel.toAgent.push_back({ header, std::move(aMessage) });
  }

  void Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult) override
  {
    auto agent =
      static_cast<std::size_t>(std::stoi(aUpstream.Value().substr(1)));
    acknowledged[agent].push_back(aResult);
  }

  void Add(platform::TableOperation aOperation, bool aIsRecord)
  {
    aOperation.self = dispatcher->Self();
    auto id = IdOf(aOperation);
    aOperation.onClaim =
      [this, id, aIsRecord](dispatch::ClaimOutcome aOutcome) {
        // As in the entry process, the dispatcher gets the outcome in a later
        // step.
        outcomes.push_back({ id, aIsRecord, std::move(aOutcome) });
      };
    batcher->Add(std::move(aOperation));
  }

  static SubmissionId IdOf(const platform::TableOperation& aOperation)
  {
    const auto& request = aOperation.request;
    if (const auto* claim = std::get_if<platform::ClaimOperation>(&request)) {
      return claim->submission;
    }
    if (const auto* poll =
          std::get_if<platform::PollClaimOperation>(&request)) {
      return poll->submission;
    }
    if (const auto* take = std::get_if<platform::TakeOverOperation>(&request)) {
      return take->submission;
    }
    return std::get<platform::RecordOperation>(request).answer.submission;
  }

  void Claim(const SubmissionId& aId,
             const std::string& aDigest,
             WallTime aDeadline) override
  {
    Add({ {}, platform::ClaimOperation{ aId, aDigest, aDeadline }, {}, {} },
        false);
  }
  void PollClaim(const SubmissionId& aId) override
  {
    claimPolls.emplace_back(cluster.now_ + 200ms, aId);
  }
  void TakeOver(const SubmissionId& aId,
                const std::string& aDigest,
                const dispatch::EntryIdentity& aOwner,
                WallTime aDeadline) override
  {
    Add({ {},
          platform::TakeOverOperation{ aId, aDigest, aDeadline, aOwner },
          {},
          {} },
        false);
  }
  void Record(const dispatch::Answer& aAnswer,
              const std::string& aDigest,
              WallTime aDeadline) override
  {
    Add(
      { {}, platform::RecordOperation{ aAnswer, aDigest, aDeadline }, {}, {} },
      true);
  }
  void Deliver(WaiterId aWaiter, const dispatch::Answer& aAnswer) override
  {
    cluster.checker_.OnAnswer(aWaiter, aAnswer);
  }
  void CountRetry(dispatch::RetryReason) override {}

  void Poll()
  {
    auto started = cluster.now_;
    auto read = cluster.table_.Read(
      { { platform::PatchWriter::kConfigurationKey, "fences" }, { "entry/" } });
    if (read.IsError()) {
      return;
    }
    std::vector<dispatch::MemberRow> members;
    std::uint64_t own = 0;
    for (const auto& row : read.Value().rows) {
      auto json = Json::parse(row.value);
      if (row.key == platform::PatchWriter::kConfigurationKey) {
        auto document = platform::PatchWriter::Decode(row.value);
        if (configuration->Adopt(document.ReleaseValue()) ==
            dispatch::Adoption::Adopted) {
          BroadcastConfiguration();
        }
      } else if (row.key == "fences") {
        bool isFenced = json.contains(Name().Value()) &&
                        json[Name().Value()].get<std::uint64_t>() >=
                          dispatcher->Self().incarnation.Value();
        if (isFenced) {
          dispatcher->MarkFenced();
        }
      } else {
        EntryId entry(row.key.substr(6));
        own = entry == Name() ? row.version : own;
        members.push_back({ { entry, Incarnation(json.get<std::uint64_t>()) },
                            "",
                            row.version });
      }
    }
    tableRead = started;
    dispatcher->Members().Observe(members, started);
    (void)cluster.table_.Transact(
      { { { "entry/" + Name().Value(),
            own,
            std::to_string(dispatcher->Self().incarnation.Value()),
            {} } } });
  }

  void BroadcastConfiguration()
  {
    auto current = configuration->Current();
    for (const auto& [upstream, record] : dispatcher->Upstreams().All()) {
      SendToAgent(
        upstream,
        protocol::ConfigurationUpdate{ current->version, current->text });
    }
  }

  void OnFrame(std::size_t aAgent, const protocol::Frame& aFrame)
  {
    echoes[aAgent] = aFrame.header.sentAt;
    const auto& message = aFrame.message;
    if (const auto* hello = std::get_if<protocol::AgentHello>(&message)) {
      auto outstanding = dispatcher->OnAgentHello(*hello, cluster.now_);
      const auto& self = dispatcher->Self();
      SendToAgent(
        hello->upstream,
        protocol::Welcome{ self.entry, self.incarnation, outstanding, {} });
      if (!hello->registered) {
        Register(*hello);
      }
      dispatcher->OnAgentReady(hello->upstream, cluster.now_);
      return;
    }
    UpstreamId upstream("u" + std::to_string(aAgent));
    if (const auto* update =
          std::get_if<protocol::ConfigurationUpdate>(&message)) {
      auto document = dispatch::ConfigurationDocument::Parse(update->version,
                                                             update->document);
      configuration->Adopt(document.ReleaseValue());
      return;
    }
    const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message);
    if (heartbeat && heartbeat->wantsAnswer) {
      SendToAgent(upstream, protocol::Heartbeat{ false });
    }
    if (aFrame.header.version < configuration->Current()->version) {
      auto current = configuration->Current();
      SendToAgent(
        upstream,
        protocol::ConfigurationUpdate{ current->version, current->text });
    }
    dispatcher->OnAgentFrame(upstream, aFrame, cluster.now_);
  }

  void Register(const protocol::AgentHello& aHello)
  {
    platform::TableOperation operation;
    operation.self = dispatcher->Self();
    operation.request =
      platform::RegisterOperation{ aHello.upstream, aHello.incarnation, false };
    operation.onRegister = [this, aHello](platform::RegisterOutcome aOutcome) {
      SendToAgent(aHello.upstream, protocol::Registered{ aOutcome.fences });
      dispatcher->OnAgentRegistered(
        aHello.upstream, aHello.incarnation, cluster.now_);
    };
    batcher->Add(std::move(operation));
  }

  void Step()
  {
    if (cluster.now_ >= nextPoll) {
      nextPoll = cluster.now_ + kPollInterval;
      Poll();
    }
    auto due = std::move(claimPolls);
    claimPolls.clear();
    for (const auto& [when, id] : due) {
      if (when > cluster.now_) {
        claimPolls.emplace_back(when, id);
        continue;
      }
      Add({ {}, platform::PollClaimOperation{ id }, {}, {} }, false);
    }
    if (batcher->HasWork()) {
      (void)batcher->Step();
    }
    auto arrived = std::move(outcomes);
    outcomes.clear();
    for (const auto& outcome : arrived) {
      if (outcome.isRecord) {
        dispatcher->OnRecorded(outcome.id, outcome.outcome, cluster.now_);
      } else {
        dispatcher->OnClaim(outcome.id, outcome.outcome, cluster.now_);
      }
    }
    dispatcher->OnTick(cluster.now_);
    if (dispatcher->IsFenced()) {
      dispatcher->StartNewIncarnation(Incarnation(cluster.nextIncarnation_++),
                                      cluster.now_);
      for (std::size_t agent = 0; agent < cluster.agents_.size(); ++agent) {
        cluster.CutLink(index, agent);
      }
    }
  }

  struct Outcome
  {
    SubmissionId id;
    bool isRecord;
    dispatch::ClaimOutcome outcome;
  };

  SimulatedCluster& cluster;
  std::size_t index;
  std::unique_ptr<dispatch::ConfigurationHolder> configuration;
  std::unique_ptr<platform::OperationBatcher> batcher;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::optional<MonotonicTime> tableRead;
  MonotonicTime nextPoll;
  std::vector<std::pair<MonotonicTime, SubmissionId>> claimPolls;
  std::vector<Outcome> outcomes;
  std::map<std::size_t, std::vector<std::uint64_t>> acknowledged;
  std::map<std::size_t, std::int64_t> echoes;
  bool paused = false;
};

SimulatedCluster::SimulatedCluster(std::size_t aEntries, std::size_t aAgents)
{
  for (std::size_t i = 0; i < aAgents; ++i) {
    agents_.push_back(std::make_unique<SimAgent>(*this, i));
  }
  for (std::size_t i = 0; i < aEntries; ++i) {
    entries_.push_back(std::make_unique<SimEntry>(*this, i));
  }
}

SimulatedCluster::~SimulatedCluster() = default;

SimulatedCluster::Channel&
SimulatedCluster::ChannelOf(std::size_t aEntry, std::size_t aAgent)
{
  return channels_[{ aEntry, aAgent }];
}

void
SimulatedCluster::Advance(Milliseconds aTime)
{
  for (auto passed = 0ms; passed < aTime; passed += kStep) {
    now_ += kStep;
    wall_ += kStep;
    Step();
  }
}

void
SimulatedCluster::Step()
{
  for (std::size_t e = 0; e < entries_.size(); ++e) {
    for (std::size_t a = 0; a < agents_.size(); ++a) {
      Deliver(e, a);
    }
  }
  for (auto& entry : entries_) {
    if (!entry->paused) {
      entry->Step();
    }
  }
  for (auto& agent : agents_) {
    if (!agent->paused) {
      agent->Step();
    }
  }
}

void
SimulatedCluster::Deliver(std::size_t aEntry, std::size_t aAgent)
{
  auto& entry = *entries_[aEntry];
  auto& agent = *agents_[aAgent];
  auto& channel = ChannelOf(aEntry, aAgent);
  if (!channel.up && !entry.paused && !agent.paused) {
    channel.up = true;
    auto hello = agent.hello;
    hello.registered = agent.core->Gate().IsRegistered();
    agent.Send(aEntry, std::move(hello));
  }
  if (!entry.paused) {
    auto frames = std::move(channel.toEntry);
    channel.toEntry.clear();
    for (const auto& frame : frames) {
      if (channel.up) {
        entry.OnFrame(aAgent, frame);
      }
    }
  }
  if (agent.paused) {
    return;
  }
  auto frames = std::move(channel.toAgent);
  channel.toAgent.clear();
  for (const auto& frame : frames) {
    if (!channel.up) {
      return;
    }
    if (const auto* welcome = std::get_if<protocol::Welcome>(&frame.message)) {
      agent.core->OnWelcome(*welcome);
    }
    agent.core->OnFrame(entry.Name(), frame, now_);
  }
  if (channel.up && !agent.paused) {
    agent.Send(aEntry, protocol::Heartbeat{ true });
  }
}

WaiterId
SimulatedCluster::Submit(std::size_t aEntry, int aId, std::size_t aTasks)
{
  dispatch::SubmissionRequest request;
  request.id = SubmissionId("s" + std::to_string(aId));
  request.deadline = WallTime(5000s) + 1000s;
  request.digest = "digest-" + std::to_string(aId);
  for (std::size_t i = 0; i < aTasks; ++i) {
    request.tasks.push_back(
      { TaskId(std::to_string(i)), TaskKind("k"), "", {} });
  }
  checker_.taskCounts[request.id] = aTasks;
  WaiterId waiter(nextWaiter_++);
  entries_[aEntry]->dispatcher->Submit(request, waiter, wall_, now_);
  return waiter;
}

void
SimulatedCluster::Cancel(std::size_t aEntry, int aId)
{
  if (!entries_[aEntry]->paused) {
    entries_[aEntry]->dispatcher->Cancel(
      SubmissionId("s" + std::to_string(aId)), now_);
  }
}

void
SimulatedCluster::CutLink(std::size_t aEntry, std::size_t aAgent)
{
  auto& channel = ChannelOf(aEntry, aAgent);
  channel = {};
  entries_[aEntry]->dispatcher->OnAgentDown(agents_[aAgent]->hello.upstream,
                                            now_);
  agents_[aAgent]->core->OnLinkDown(entries_[aEntry]->Name());
}

void
SimulatedCluster::KillEntry(std::size_t aEntry)
{
  for (std::size_t a = 0; a < agents_.size(); ++a) {
    CutLink(aEntry, a);
  }
  entries_[aEntry]->paused = false;
  entries_[aEntry]->outcomes.clear();
  entries_[aEntry]->Restart();
}

void
SimulatedCluster::PauseEntry(std::size_t aEntry)
{
  entries_[aEntry]->paused = true;
}

void
SimulatedCluster::ResumeEntry(std::size_t aEntry)
{
  entries_[aEntry]->paused = false;
}

void
SimulatedCluster::KillAgent(std::size_t aAgent)
{
  for (std::size_t e = 0; e < entries_.size(); ++e) {
    CutLink(e, aAgent);
  }
  agents_[aAgent]->paused = false;
  agents_[aAgent]->Restart();
}

void
SimulatedCluster::PauseAgent(std::size_t aAgent)
{
  agents_[aAgent]->paused = true;
}

void
SimulatedCluster::ResumeAgent(std::size_t aAgent)
{
  agents_[aAgent]->paused = false;
}

bool
SimulatedCluster::IsPaused(std::size_t aEntry) const
{
  return entries_[aEntry]->paused;
}

void
SimulatedCluster::SetDomain(std::size_t aAgent, bool aClosed)
{
  auto fault = table_.nextFault;
  table_.nextFault = [] { return Fault::None; };
  platform::PatchWriter writer(table_);
  std::uint64_t base = 0;
  auto head = table_.rows.find(platform::PatchWriter::kConfigurationKey);
  if (head != table_.rows.end()) {
    base = Json::parse(head->second.value)["version"].get<std::uint64_t>();
  }
  Json patch{
    { "failure_domains",
      { { DomainName(aAgent), { { "state", aClosed ? "closed" : "open" } } } } }
  };
  (void)writer.Apply(ConfigurationVersion(base),
                     patch.dump(),
                     std::to_string(base),
                     MonotonicNow() + 1s);
  table_.nextFault = fault;
  if (aClosed) {
    checker_.closedSince.try_emplace(DomainName(aAgent), now_);
  } else {
    checker_.closedSince.erase(DomainName(aAgent));
  }
}

void
SimulatedCluster::Recover()
{
  table_.nextFault = [] { return Fault::None; };
  for (std::size_t e = 0; e < entries_.size(); ++e) {
    ResumeEntry(e);
  }
  for (std::size_t a = 0; a < agents_.size(); ++a) {
    ResumeAgent(a);
    SetDomain(a, false);
  }
  Advance(60s);
}

}
