#include "LibJob/RunSupervisor.h"
#include "Tests/LibJob/FakeRunner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck.h>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;

namespace {
const EntryId kEntry("entry-1");
constexpr Milliseconds kStep{ 5 };
constexpr Milliseconds kTick{ 25 };
constexpr Milliseconds kReportInterval{ 1500 };
/** How long a former room counts: contactMs and one heartbeat. */
constexpr Milliseconds kFormerRoomCounts{ 4500 };
/** Time for a hold answer, after which nothing that fits may wait. */
constexpr Milliseconds kMaxIdle{ 250 };

/**
 * An agent and its runner in virtual time. The runner guards nothing; each
 * start is compared with the rooms that count at that moment.
 */
class RoomHistory final : public RunSupervisorPort
{
public:
  RoomHistory()
    : runner_(FirstReport(), 1, { [](const RunKey&) {}, [](const RunKey&) {} })
  {
    runner_.runTimeOf = [](const RunKey& aKey) {
      return Milliseconds(60 + 70 * (aKey.task.index % 5));
    };
    runner_.demandOf = [this](const RunKey& aKey) { return demands_.at(aKey); };
    SetRoom({ 4000, 400, 1 });
    control_.Adopt({ 1, ConfigurationVersion(1), {}, {} });
    StartAgent();
  }

  void CallStart(const StartCall& aCall) override
  {
    auto usedBefore = runner_.Used();
    auto result = runner_.Start(aCall, now_);
    // The runner confirms a run that it has started before.
    if (runner_.Used() != usedBefore) {
      CheckRoom();
      ++starts;
    }
    if (losesAnswers && ++answersToLose_ % 3 == 0) {
      result = StartResult::Unknown;
    }
    Later([this, aCall, result] {
      supervisor_->OnStartAnswered(aCall.key, aCall.target.token, result, now_);
    });
  }
  void CallStop(const StopCall& aCall) override
  {
    auto result = runner_.Stop(aCall, now_);
    Later([this, aCall, result] {
      supervisor_->OnStopAnswered(aCall.key, aCall.target.token, result, now_);
    });
  }
  void CallHold(std::uint64_t aNumber, const HoldCall& aCall) override
  {
    auto answer = runner_.Hold(aCall, now_);
    Later([this, aNumber, answer] {
      supervisor_->OnHoldAnswered(aNumber, answer, now_);
    });
  }
  void SendToEntry(const EntryId&, protocol::Message) override {}
  void OnRunEnded(const RunEnded&) override {}
  void OnUnexpectedRun(const RunKey&) override {}
  void SaveReport(const RunnerReport& aReport) override
  {
    stored_ = aReport;
    stored_->sequence = 0;
    stored_->clockMs = 0;
  }
  void OnRunnerAdopted(const RunnerReport&, std::uint64_t) override {}
  void OnReportIgnored(const RunnerReport&) override {}
  void OnRunnerReleased(const RunnerReleased&) override {}

  void SetRoom(const Resources& aRoom)
  {
    rooms_.emplace_back(now_, aRoom);
    runner_.SetCapacity(aRoom);
  }
  void Order(std::uint32_t aTasks, const Resources& aDemand)
  {
    if (!supervisor_) {
      return;
    }
    protocol::RunOrder order;
    order.sequence = ++orders_;
    order.job = SubmissionId("job-" + std::to_string(orders_));
    order.cpu = aDemand.cpu;
    order.memory = aDemand.memory;
    order.accelerators = aDemand.accelerators;
    order.estimateMs = 150;
    // Long, so that hardly any run goes back for its expected wait.
    order.startWithinMs = 20'000;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      order.tasks.push_back({ i, 1 });
      demands_[{ order.job, { i, 1 } }] = aDemand;
    }
    supervisor_->OnOrder(kEntry, order, now_);
  }
  /** Kills the agent; its calls that are under way get no answer. */
  void KillAgent()
  {
    supervisor_.reset();
    answers_.clear();
  }
  void StartAgent()
  {
    if (supervisor_) {
      return;
    }
    supervisor_ = std::make_unique<RunSupervisor>(
      UpstreamId("u1"), Incarnation(++agents_), limits_, control_, *this);
    supervisor_->OnResume({ kEntry, Incarnation(1), {} }, now_);
    if (stored_) {
      supervisor_->OnRunnerReport(*stored_, now_);
    }
  }
  /** Lets the next report arrive late, after other ones. */
  void DelayNextReport(Milliseconds aBy) { reportDelay_ = aBy; }

  void Run(Milliseconds aFor)
  {
    for (Milliseconds passed{ 0 }; passed < aFor; passed += kStep) {
      now_ += kStep;
      runner_.Advance(now_);
      Deliver();
      if (!supervisor_) {
        continue;
      }
      if (!isFrozen && now_.time_since_epoch() % kTick == kTick.zero()) {
        supervisor_->OnRevalidated(kEntry, now_);
        supervisor_->OnTick(now_);
      }
    }
  }
  /** Whether a run that fits has waited for longer than kMaxIdle. */
  bool HasIdleRoom(Milliseconds aFor, const Resources& aDemand)
  {
    Milliseconds idle{ 0 };
    for (Milliseconds passed{ 0 }; passed < aFor; passed += kStep) {
      Run(kStep);
      auto free = runner_.Capacity();
      free -= runner_.Used();
      bool isIdle = supervisor_->Queued() > 0 && free.Fits(aDemand);
      idle = isIdle ? idle + kStep : Milliseconds{ 0 };
      if (idle > kMaxIdle) {
        return true;
      }
    }
    return false;
  }
  std::size_t Queued() const { return supervisor_->Queued(); }

  int starts = 0;
  int excesses = 0;
  bool losesAnswers = false;
  /** The agent's process does nothing; messages to it arrive afterwards. */
  bool isFrozen = false;

private:
  struct Delivery
  {
    MonotonicTime at;
    RunnerReport report;
  };

  static RunnerReport FirstReport()
  {
    RunnerReport report;
    report.id = "r1";
    report.startedMs = 1'700'000'000'000;
    report.service = "tally";
    report.address = "r1";
    report.domain = FailureDomainId("promenade");
    return report;
  }
  void Later(std::function<void()> aAnswer)
  {
    answers_.push_back(std::move(aAnswer));
  }
  void Deliver()
  {
    if (now_ >= nextReportAt_) {
      nextReportAt_ = now_ + kReportInterval;
      reports_.push_back({ now_ + reportDelay_, runner_.Report(now_) });
      reportDelay_ = Milliseconds{ 0 };
    }
    if (isFrozen) {
      return;
    }
    auto answers = std::move(answers_);
    answers_.clear();
    for (const auto& answer : answers) {
      answer();
    }
    auto due = reports_;
    std::erase_if(reports_,
                  [this](const auto& aItem) { return aItem.at <= now_; });
    for (const auto& item : due) {
      // Without a process, nobody accepts the report.
      if (item.at <= now_ && supervisor_) {
        supervisor_->OnRunnerReport(item.report, now_);
      }
    }
  }
  void CheckRoom()
  {
    bool isWithin = false;
    for (std::size_t i = 0; i < rooms_.size(); ++i) {
      bool counts = i + 1 == rooms_.size() ||
                    rooms_[i + 1].first + kFormerRoomCounts >= now_;
      isWithin = isWithin || (counts && rooms_[i].second.Fits(runner_.Used()));
    }
    excesses += isWithin ? 0 : 1;
  }

  MonotonicTime now_{ std::chrono::hours(1) };
  FakeRunner runner_;
  ControlView control_;
  RunSupervisorLimits limits_;
  std::unique_ptr<RunSupervisor> supervisor_;
  std::optional<RunnerReport> stored_;
  std::map<RunKey, Resources> demands_;
  std::deque<std::pair<MonotonicTime, Resources>> rooms_;
  std::vector<std::function<void()>> answers_;
  std::vector<Delivery> reports_;
  Milliseconds reportDelay_{ 0 };
  MonotonicTime nextReportAt_;
  std::uint64_t orders_ = 0;
  std::uint64_t agents_ = 0;
  int answersToLose_ = 0;
};

int
Draw(int aBelow)
{
  return *rc::gen::resize(100, rc::gen::inRange(0, aBelow));
}

Resources
DrawRoom()
{
  return { Draw(5) * 1000, Draw(5) * 100, Draw(2) };
}

void
Disturb(RoomHistory& aHistory)
{
  switch (Draw(9)) {
    case 0:
    case 1:
      aHistory.SetRoom(DrawRoom());
      break;
    case 2:
      aHistory.SetRoom({});
      break;
    case 3:
      aHistory.KillAgent();
      aHistory.Run(Milliseconds(Draw(8000)));
      aHistory.StartAgent();
      break;
    case 4:
      // The room changes while no process is up.
      aHistory.KillAgent();
      aHistory.SetRoom(DrawRoom());
      aHistory.Run(Milliseconds(Draw(8000)));
      aHistory.StartAgent();
      break;
    case 5:
      aHistory.DelayNextReport(Milliseconds(Draw(9000)));
      break;
    case 6:
      aHistory.losesAnswers = !aHistory.losesAnswers;
      break;
    case 7:
      aHistory.isFrozen = true;
      aHistory.SetRoom(DrawRoom());
      aHistory.Run(Milliseconds(Draw(8000)));
      aHistory.isFrozen = false;
      break;
    default:
      aHistory.SetRoom({ 4000, 400, 1 });
      break;
  }
}
}

TEST_CASE(
  "over random histories, no start exceeds a runner's room, and nothing "
  "that fits stays queued")
{
  int starts = 0;
  bool holds = rc::check([&starts] {
    RoomHistory history;
    for (int i = 0; i < 30; ++i) {
      Disturb(history);
      Resources demand{ 1000, 50 + Draw(3) * 50, Draw(4) == 0 ? 1 : 0 };
      history.Order(1 + static_cast<std::uint32_t>(Draw(5)), demand);
      history.Run(Milliseconds(Draw(1500)));
      RC_ASSERT(history.excesses == 0);
    }
    // All is calm; the room is small, then it grows.
    history.losesAnswers = false;
    history.SetRoom({ 1000, 100, 0 });
    history.Run(Milliseconds(12'000));
    Resources demand{ 1000, 100, 0 };
    history.Order(4, demand);
    RC_ASSERT(!history.HasIdleRoom(Milliseconds(200), demand));
    RC_ASSERT(history.Queued() > 0);
    history.SetRoom({ 4000, 400, 1 });
    // The next report tells of the growth.
    history.Run(kReportInterval);
    RC_ASSERT(!history.HasIdleRoom(Milliseconds(8000), demand));
    RC_ASSERT(history.Queued() == 0);
    RC_ASSERT(history.excesses == 0);
    starts += history.starts;
  });
  REQUIRE(holds);
  // The histories exercise something.
  CHECK(starts > 1000);
}
