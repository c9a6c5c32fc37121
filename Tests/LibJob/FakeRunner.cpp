#include "Tests/LibJob/FakeRunner.h"

#include <algorithm>

namespace vanillaworks::tests {

namespace {
constexpr std::int64_t kMaxLeaseMs = 1000;
}

FakeRunner::FakeRunner(job::RunnerReport aReport,
                       double aSlowness,
                       RunnerObserver aObserver)
  : report_(std::move(aReport))
  , slowness_(aSlowness)
  , observer_(std::move(aObserver))
{
  runTimeOf = [](const job::RunKey&) { return Milliseconds(100); };
  demandOf = [](const job::RunKey&) { return job::Resources{ 1000, 64, 0 }; };
  failsTask = [](const job::RunKey&) { return false; };
}

std::int64_t
FakeRunner::ClockMs(MonotonicTime aNow) const
{
  auto elapsed = (aNow - startedAt_) * clockRate_;
  return std::chrono::duration_cast<Milliseconds>(elapsed).count() + 1;
}

bool
FakeRunner::AcceptToken(std::uint64_t aToken)
{
  token_ = std::max(token_, aToken);
  return aToken == token_;
}

void
FakeRunner::ExtendLease(std::int64_t aUntilMs)
{
  leaseUntilMs_ = std::max(leaseUntilMs_, aUntilMs);
}

job::StartResult
FakeRunner::Start(const job::StartCall& aCall, MonotonicTime aNow)
{
  Advance(aNow);
  if (aCall.target.id != report_.id) {
    return job::StartResult::Rejected;
  }
  if (!AcceptToken(aCall.target.token)) {
    return job::StartResult::Fenced;
  }
  if (running_.contains(aCall.key)) {
    return job::StartResult::Started;
  }
  auto& last = lastRun_[{ aCall.key.job, aCall.key.task.index }];
  if (aCall.key.task.run <= last) {
    return job::StartResult::OldRun;
  }
  if (aCall.leaseUntilMs <= ClockMs(aNow)) {
    return job::StartResult::Late;
  }
  ExtendLease(std::min(aCall.leaseUntilMs, ClockMs(aNow) + kMaxLeaseMs));
  auto work =
    std::chrono::duration_cast<Milliseconds>(runTimeOf(aCall.key) * slowness_);
  auto demand = demandOf(aCall.key);
  used_ += demand;
  running_[aCall.key] = { aNow,
                          makesNoProgress ? MonotonicTime::max() : aNow + work,
                          demand };
  observer_.onStarted(aCall.key);
  return job::StartResult::Started;
}

job::StopResult
FakeRunner::Stop(const job::StopCall& aCall, MonotonicTime aNow)
{
  Advance(aNow);
  if (aCall.target.id != report_.id) {
    return job::StopResult::OtherIncarnation;
  }
  if (!AcceptToken(aCall.target.token)) {
    return job::StopResult::Fenced;
  }
  auto& last = lastRun_[{ aCall.key.job, aCall.key.task.index }];
  last = std::max(last, aCall.key.task.run);
  if (running_.contains(aCall.key)) {
    End(aCall.key, job::EndKind::Stopped);
  }
  return job::StopResult::Accepted;
}

bool
FakeRunner::HasUnseenEnds(const job::HoldCall& aCall) const
{
  return std::any_of(
    finished_.begin(), finished_.end(), [&aCall](const auto& aRow) {
      return aRow.number > aCall.lastSeen;
    });
}

job::HoldAnswer
FakeRunner::Hold(const job::HoldCall& aCall, MonotonicTime aNow)
{
  Advance(aNow);
  job::HoldAnswer answer;
  if (aCall.target.id != report_.id) {
    answer.result = job::HoldResult::OtherIncarnation;
    return answer;
  }
  if (!AcceptToken(aCall.target.token)) {
    answer.result = job::HoldResult::Fenced;
    return answer;
  }
  ExtendLease(std::min(aCall.leaseUntilMs, ClockMs(aNow) + kMaxLeaseMs));
  std::erase_if(finished_, [&aCall](const auto& aRow) {
    return aRow.number <= aCall.lastSeen;
  });
  answer.result = job::HoldResult::Answered;
  answer.clockMs = ClockMs(aNow);
  answer.startedMs = report_.startedMs;
  for (const auto& [key, work] : running_) {
    constexpr int kWhole = 100;
    int percent = 0;
    if (work.endsAt != MonotonicTime::max()) {
      percent = static_cast<int>((aNow - work.startedAt) * kWhole /
                                 (work.endsAt - work.startedAt));
    }
    answer.running.push_back({ key, percent });
  }
  answer.finished = finished_;
  return answer;
}

void
FakeRunner::Advance(MonotonicTime aNow)
{
  std::vector<std::pair<MonotonicTime, job::RunKey>> due;
  for (const auto& [key, work] : running_) {
    if (work.endsAt <= aNow) {
      due.emplace_back(work.endsAt, key);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& [when, key] : due) {
    if (ClockMs(when) <= leaseUntilMs_) {
      End(key, failsTask(key) ? job::EndKind::Failed : job::EndKind::Done);
    }
  }
  if (ClockMs(aNow) <= leaseUntilMs_) {
    return;
  }
  while (!running_.empty()) {
    End(job::RunKey(running_.begin()->first), job::EndKind::Lapsed);
  }
}

void
FakeRunner::End(const job::RunKey& aKey, job::EndKind aKind)
{
  auto found = running_.find(aKey);
  used_ -= found->second.demand;
  running_.erase(found);
  auto& last = lastRun_[{ aKey.job, aKey.task.index }];
  last = std::max(last, aKey.task.run);
  finished_.push_back({ ++ends_, aKey, aKind });
  observer_.onStopped(aKey);
}

void
FakeRunner::Crash(MonotonicTime aNow)
{
  while (!running_.empty()) {
    End(job::RunKey(running_.begin()->first), job::EndKind::Failed);
  }
  finished_.clear();
  lastRun_.clear();
  ends_ = 0;
  token_ = 0;
  leaseUntilMs_ = 0;
  report_.sequence = 0;
  report_.startedMs +=
    std::chrono::duration_cast<Milliseconds>(aNow - startedAt_).count();
  startedAt_ = aNow;
}

job::RunnerReport
FakeRunner::Report(MonotonicTime aNow)
{
  ++report_.sequence;
  report_.clockMs = ClockMs(aNow);
  return report_;
}

}
