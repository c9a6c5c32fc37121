#include "LibDispatch/UpstreamDirectory.h"

namespace vanillaworks::dispatch {

namespace {
/** Expected service time of a task kind without any samples. */
constexpr double kDefaultServiceTimeMicroseconds = 200'000;
/** Weight, in samples, of the mean over all upstreams. */
constexpr double kPriorWeightSamples = 3;
}

UpstreamRecord&
UpstreamDirectory::FindOrAdd(const UpstreamId& aUpstream)
{
  return records_[aUpstream];
}

UpstreamRecord*
UpstreamDirectory::Find(const UpstreamId& aUpstream)
{
  auto found = records_.find(aUpstream);
  return found == records_.end() ? nullptr : &found->second;
}

bool
UpstreamDirectory::IsEligible(const UpstreamRecord& aRecord,
                              const TaskRequirements& aRequirements,
                              const ConfigurationDocument& aConfiguration,
                              MonotonicTime aNow)
{
  return aRecord.isLinkUp && !aRecord.stopping && aRecord.avoidUntil <= aNow &&
         (aRecord.registered || !aRequirements.claimed) &&
         !aConfiguration.IsClosed(aRecord.hello.domain) &&
         !aConfiguration.IsLeaving(aRecord.hello.upstream) &&
         aRecord.Serves(aRequirements.kind) &&
         aRecord.hello.capacity.Fits(aRequirements.demand);
}

bool
UpstreamDirectory::HasCapableUpstream(
  const TaskRequirements& aRequirements) const
{
  return std::any_of(
    records_.begin(), records_.end(), [&aRequirements](const auto& aItem) {
      return aItem.second.Serves(aRequirements.kind) &&
             aItem.second.hello.capacity.Fits(aRequirements.demand);
    });
}

void
UpstreamDirectory::AddServiceTime(UpstreamRecord& aRecord,
                                  const TaskKind& aKind,
                                  Microseconds aService)
{
  aRecord.serviceTimes[aKind].Add(aService);
  overallServiceTimes_[aKind].Add(aService);
}

double
UpstreamDirectory::ExpectedServiceTime(const UpstreamRecord& aRecord,
                                       const TaskKind& aKind) const
{
  auto overall = overallServiceTimes_.find(aKind);
  double prior = overall == overallServiceTimes_.end()
                   ? kDefaultServiceTimeMicroseconds
                   : overall->second.Mean();
  auto speed = aRecord.serviceTimes.find(aKind);
  if (speed == aRecord.serviceTimes.end()) {
    return prior;
  }
  auto samples = static_cast<double>(speed->second.Samples());
  return (speed->second.Mean() * samples + prior * kPriorWeightSamples) /
         (samples + kPriorWeightSamples);
}

}
