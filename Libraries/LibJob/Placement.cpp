#include "LibJob/Placement.h"

#include <algorithm>
#include <vector>

namespace vanillaworks::job {

namespace {
/** Network delay of the order to the worker and of the answer back. */
constexpr Milliseconds kRoundTripAllowance{ 8 };
/**
 * A worker is a safe choice if the slack is at least this fraction (1/6) of the
 * time to the expected end.
 */
constexpr int kSafeSlackDivisor = 6;
/**
 * Above this share of processors in use, slower workers are preferred to leave
 * the fast ones free.
 */
constexpr double kHighUtilization = 0.6;
constexpr Milliseconds kMinRetryAfter{ 1000 };
constexpr std::int64_t kRetryAfterJitterMs = 1000;
}

bool
Placement::IsAllowed(const PlacementRequest& aRequest,
                     const UpstreamId& aUpstream,
                     const UpstreamView& aView,
                     const ControlView& aControl,
                     MonotonicTime aNow) const
{
  const auto& job = aRequest.job;
  const auto& status = aView.Status();
  if (!aView.IsUsable(aNow) || status.service != job.route.service) {
    return false;
  }
  if (aControl.IsClosed(status.domain) || !aView.CanEverFit(job.demand)) {
    return false;
  }
  const auto& labels = status.labels;
  bool hasLabel =
    job.requiredLabel.empty() ||
    std::find(labels.begin(), labels.end(), job.requiredLabel) != labels.end();
  if (!hasLabel) {
    return false;
  }
  auto taken = aRequest.tasksPerWorker.find(aUpstream);
  return job.maxPerWorker == 0 || taken == aRequest.tasksPerWorker.end() ||
         taken->second < job.maxPerWorker;
}

std::optional<PlacementResult>
Placement::Choose(const PlacementRequest& aRequest,
                  const Views& aViews,
                  const ControlView& aControl,
                  MonotonicTime aNow)
{
  const auto& job = aRequest.job;
  std::vector<Candidate> healthy;
  std::vector<Candidate> unreliable;
  std::int64_t cpu = 0;
  std::int64_t cpuFree = 0;
  auto end = aRequest.urgency == Urgency::InTime ? job.Goal() : job.deadline;
  auto left =
    std::chrono::duration_cast<Milliseconds>(end - aNow) - kRoundTripAllowance;
  shortestWait_ = Milliseconds::max();
  for (const auto& [upstream, view] : aViews) {
    if (!IsAllowed(aRequest, upstream, view, aControl, aNow)) {
      continue;
    }
    const auto& status = view.Status();
    auto run = view.RunTime(job.estimate);
    bool isRemoteFromData =
      !job.dataRack.empty() &&
      std::find(status.labels.begin(), status.labels.end(), job.dataRack) ==
        status.labels.end();
    if (isRemoteFromData) {
      run = std::chrono::duration_cast<Milliseconds>(run * remoteDataFactor_);
    }
    auto startIn = view.EstimateStartDelay(job.demand);
    shortestWait_ = std::min(shortestWait_, startIn);
    Candidate candidate{
      &upstream, &view, startIn, startIn + run, left - startIn - run
    };
    bool isUnreliable =
      status.suspect || aRequest.avoidedWorkers.contains(upstream);
    (isUnreliable ? unreliable : healthy).push_back(candidate);
    cpu += status.cpu;
    cpuFree += std::max<std::int64_t>(view.FreeResources().cpu, 0);
  }
  auto& candidates = healthy.empty() ? unreliable : healthy;
  if (candidates.empty()) {
    reason_ = PlacementFailure::NoWorker;
    couldFinishInTime_ = left >= job.estimate;
    return {};
  }
  couldFinishInTime_ = std::any_of(
    candidates.begin(), candidates.end(), [](const Candidate& aCandidate) {
      return (aCandidate.slack + aCandidate.startIn).count() >= 0;
    });
  auto count = candidates.size();
  std::erase_if(candidates, [&aRequest](const Candidate& aCandidate) {
    bool isLate = aCandidate.slack.count() < 0;
    bool isTooLong =
      aRequest.maxStartDelay && aCandidate.startIn > *aRequest.maxStartDelay;
    return aCandidate.startIn.count() > 0 && (isLate || isTooLong);
  });
  bool isHighlyUtilized = static_cast<double>(cpu - cpuFree) >
                          kHighUtilization * static_cast<double>(cpu);
  const auto* chosen = PickWeighted(candidates, job.demand, isHighlyUtilized);
  if (!chosen) {
    reason_ = PlacementFailure::TooLate;
    return {};
  }
  auto startWithin =
    std::max(chosen->startIn + chosen->slack, kRoundTripAllowance);
  return PlacementResult{
    *chosen->upstream, count, chosen->startIn, chosen->endIn, startWithin
  };
}

const Placement::Candidate*
Placement::PickWeighted(const std::vector<Candidate>& aCandidates,
                        const Resources& aDemand,
                        bool aIsHighlyUtilized)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  auto best = std::min_element(aCandidates.begin(),
                               aCandidates.end(),
                               [](const auto& aOne, const auto& aOther) {
                                 return aOne.endIn < aOther.endIn;
                               });
  const auto* startingNow = Draw(aCandidates, [&](const Candidate& aCandidate) {
    return Weight(aCandidate, *best, aDemand, aIsHighlyUtilized);
  });
  if (startingNow) {
    return startingNow;
  }
  const auto* startingLater = Draw(aCandidates, QueueWeight);
  return startingLater ? startingLater : &*best;
}

const Placement::Candidate*
Placement::Draw(const std::vector<Candidate>& aCandidates,
                const std::function<double(const Candidate&)>& aWeight)
{
  std::vector<double> weights;
  double total = 0;
  for (const auto& candidate : aCandidates) {
    weights.push_back(aWeight(candidate));
    total += weights.back();
  }
  if (total <= 0) {
    return nullptr;
  }
  std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                 weights.end());
  return &aCandidates[choose(random_)];
}

double
Placement::Weight(const Candidate& aCandidate,
                  const Candidate& aBest,
                  const Resources& aDemand,
                  bool aIsHighlyUtilized)
{
  bool isSafe = aCandidate.slack >= aCandidate.endIn / kSafeSlackDivisor;
  if (aCandidate.startIn.count() > 0 || !isSafe) {
    return 0;
  }
  auto cpu = static_cast<double>(std::max<std::int64_t>(aDemand.cpu, 1));
  auto tasks = static_cast<double>(aCandidate.view->FreeResources().cpu) / cpu;
  auto slower = static_cast<double>(aCandidate.endIn.count() + 1) /
                static_cast<double>(aBest.endIn.count() + 1);
  return aIsHighlyUtilized ? tasks * slower * slower
                           : tasks / (slower * slower);
}

double
Placement::QueueWeight(const Candidate& aCandidate)
{
  auto slack = std::max<std::int64_t>(aCandidate.slack.count(), 0);
  auto cpu = aCandidate.view->Status().cpu;
  return static_cast<double>(cpu) * static_cast<double>(slack);
}

Milliseconds
Placement::RetryAfter()
{
  std::uniform_int_distribution<std::int64_t> jitter(0, kRetryAfterJitterMs);
  auto wait =
    shortestWait_ == Milliseconds::max() ? Milliseconds{ 0 } : shortestWait_;
  return std::max(wait, kMinRetryAfter) + Milliseconds(jitter(random_));
}

}
