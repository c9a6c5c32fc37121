#include "LibJob/PriorityAdmission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillaworks::job {

namespace {
/** Covers several tasks of every route, and follows a burst within a second. */
constexpr double kDecayTimeMs = 1000;
constexpr double kWaitGain = 1.0 / 16;
/** A priority that asks for less than this share of all work is ignored. */
constexpr double kMinActiveShare = 0.02;
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
PriorityAdmission::IsActive(const Level& aLevel,
                            double aAsked,
                            MonotonicTime aNow)
{
  return aLevel.asked.Value(aNow) >= kMinActiveShare * aAsked;
}

void
PriorityAdmission::OnAsked(const JobRequest& aJob, MonotonicTime aNow)
{
  auto& level = services_[aJob.route.service][aJob.route.priority];
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

std::optional<Milliseconds>
PriorityAdmission::MaxStartDelay(const JobRequest& aJob,
                                 MonotonicTime aNow) const
{
  auto service = services_.find(aJob.route.service);
  if (service == services_.end()) {
    return {};
  }
  double asked = 0;
  double admitted = 0;
  for (const auto& [priority, level] : service->second) {
    asked += level.asked.Value(aNow);
    admitted += level.admitted.Value(aNow);
  }
  double active = 0;
  double received = 0;
  auto limit = std::numeric_limits<double>::max();
  for (const auto& [priority, level] : service->second) {
    bool isOwn = priority == aJob.route.priority;
    if (!isOwn && !IsActive(level, asked, aNow)) {
      continue;
    }
    ++active;
    received = isOwn ? level.admitted.Value(aNow) : received;
    if (priority <= aJob.route.priority) {
      limit = std::min(limit, level.waitMs) / 2;
    }
  }
  bool isAlone = active < 2;
  bool isBelowGuarantee =
    received < guaranteedShare_ * admitted / std::max(active, 1.0);
  if (isAlone || isBelowGuarantee) {
    return {};
  }
  return Milliseconds(static_cast<std::int64_t>(limit));
}

}
