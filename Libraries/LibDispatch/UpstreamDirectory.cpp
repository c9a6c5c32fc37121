#include "LibDispatch/UpstreamDirectory.h"

namespace vanillaworks::dispatch {

namespace {
/** Microseconds expected of a kind of work that was never seen. */
constexpr double kUnknownService = 200'000;
/** Samples that weigh as much as what other upstreams have shown. */
constexpr double kPriorSamples = 3;
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
                              const TaskNeeds& aNeeds,
                              const ConfigurationDocument& aConfiguration,
                              MonotonicTime aNow)
{
  return aRecord.linkUp && !aRecord.stopping && aRecord.avoidUntil <= aNow &&
         (aRecord.registered || !aNeeds.claimed) &&
         !aConfiguration.IsClosed(aRecord.hello.domain) &&
         !aConfiguration.IsLeaving(aRecord.hello.upstream) &&
         aRecord.Serves(aNeeds.kind) &&
         aRecord.hello.capacity.Fits(aNeeds.demand);
}

bool
UpstreamDirectory::CouldEverFit(const TaskNeeds& aNeeds) const
{
  return std::any_of(
    records_.begin(), records_.end(), [&aNeeds](const auto& aItem) {
      return aItem.second.Serves(aNeeds.kind) &&
             aItem.second.hello.capacity.Fits(aNeeds.demand);
    });
}

void
UpstreamDirectory::OnService(UpstreamRecord& aRecord,
                             const TaskKind& aKind,
                             Microseconds aService)
{
  aRecord.speeds[aKind].Add(aService);
  overall_[aKind].Add(aService);
}

double
UpstreamDirectory::ExpectedService(const UpstreamRecord& aRecord,
                                   const TaskKind& aKind) const
{
  auto overall = overall_.find(aKind);
  double prior =
    overall == overall_.end() ? kUnknownService : overall->second.Mean();
  auto speed = aRecord.speeds.find(aKind);
  if (speed == aRecord.speeds.end()) {
    return prior;
  }
  auto samples = static_cast<double>(speed->second.Samples());
  return (speed->second.Mean() * samples + prior * kPriorSamples) /
         (samples + kPriorSamples);
}

}
