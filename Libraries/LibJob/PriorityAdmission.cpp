#include "LibJob/PriorityAdmission.h"

#include <algorithm>
#include <cmath>

namespace vanillaworks::job {

namespace {
/** Covers several tasks of every route, and follows a burst within a second. */
constexpr double kDecayTimeMs = 1000;
constexpr double kWaitGain = 1.0 / 16;
/** Below this share of the work asked for, the entry counts as overloaded. */
constexpr double kMinAdmittedShare = 0.7;
/** A priority that didn't ask for this time competes with nobody. */
constexpr Milliseconds kActiveTime{ 1000 };
constexpr double kMilliCoresInCore = 1000;
}

void
PriorityAdmission::DecayingSum::Add(double aValue, MonotonicTime aNow)
{
  value_ = Value(aNow) + aValue;
  updatedAt_ = aNow;
}

double
PriorityAdmission::DecayingSum::Value(MonotonicTime aNow) const
{
  auto since =
    std::chrono::duration<double, std::milli>(aNow - updatedAt_).count();
  return value_ * std::exp(-std::max(since, 0.0) / kDecayTimeMs);
}

double
PriorityAdmission::Work(const JobRequest& aJob)
{
  return static_cast<double>(aJob.tasks) *
         static_cast<double>(aJob.demand.cpu) / kMilliCoresInCore *
         static_cast<double>(aJob.estimate.count());
}

bool
PriorityAdmission::IsActive(const Level& aLevel, MonotonicTime aNow)
{
  return aNow - aLevel.askedAt < kActiveTime;
}

void
PriorityAdmission::OnAsked(const JobRequest& aJob, MonotonicTime aNow)
{
  auto& level = services_[aJob.route.service][aJob.route.priority];
  level.askedAt = aNow;
  level.asked.Add(Work(aJob), aNow);
  auto wait = std::chrono::duration<double, std::milli>(
                aJob.Goal() - aJob.arrival - aJob.estimate)
                .count();
  level.waitMs =
    level.waitMs == 0 ? wait : level.waitMs + (wait - level.waitMs) * kWaitGain;
}

void
PriorityAdmission::OnAdmitted(const JobRequest& aJob, MonotonicTime aNow)
{
  services_[aJob.route.service][aJob.route.priority].admitted.Add(Work(aJob),
                                                                  aNow);
}

double
PriorityAdmission::Admitted(const Levels& aLevels, MonotonicTime aNow)
{
  double admitted = 0;
  for (const auto& [priority, level] : aLevels) {
    admitted += level.admitted.Value(aNow);
  }
  return admitted;
}

bool
PriorityAdmission::IsOverloaded(const Levels& aLevels, MonotonicTime aNow)
{
  double asked = 0;
  for (const auto& [priority, level] : aLevels) {
    asked += level.asked.Value(aNow);
  }
  return Admitted(aLevels, aNow) < kMinAdmittedShare * asked;
}

double
PriorityAdmission::GuaranteedWork(const Levels& aLevels,
                                  MonotonicTime aNow) const
{
  return guaranteedShare_ * Admitted(aLevels, aNow) /
         static_cast<double>(CountActive(aLevels, aNow));
}

std::size_t
PriorityAdmission::CountActive(const Levels& aLevels, MonotonicTime aNow)
{
  auto active =
    std::count_if(aLevels.begin(), aLevels.end(), [aNow](const auto& aItem) {
      return IsActive(aItem.second, aNow);
    });
  return static_cast<std::size_t>(active);
}

double
PriorityAdmission::QueueLimitMs(const Levels& aLevels,
                                std::uint32_t aPriority,
                                MonotonicTime aNow)
{
  auto limit = aLevels.at(aPriority).waitMs;
  for (const auto& [priority, level] : aLevels) {
    if (priority <= aPriority && IsActive(level, aNow)) {
      limit = std::min(limit, level.waitMs) / 2;
    }
  }
  return limit;
}

std::optional<Milliseconds>
PriorityAdmission::MaxStartDelay(const JobRequest& aJob,
                                 MonotonicTime aNow) const
{
  auto service = services_.find(aJob.route.service);
  if (service == services_.end()) {
    return {};
  }
  const auto& levels = service->second;
  auto own = levels.find(aJob.route.priority);
  bool isAlone = own == levels.end() || CountActive(levels, aNow) < 2;
  if (isAlone || !IsOverloaded(levels, aNow)) {
    return {};
  }
  bool isBelowGuarantee =
    own->second.admitted.Value(aNow) < GuaranteedWork(levels, aNow);
  if (isBelowGuarantee) {
    return {};
  }
  auto limit = QueueLimitMs(levels, aJob.route.priority, aNow);
  return Milliseconds(static_cast<std::int64_t>(limit));
}

}
