#ifndef Libraries_LibDispatch_UpstreamDirectory_h
#define Libraries_LibDispatch_UpstreamDirectory_h

#include "LibDispatch/ConfigurationDocument.h"
#include "LibDispatch/TaskNeeds.h"
#include "LibDispatch/UpstreamRecord.h"

#include <map>
#include <memory>
#include <vector>

namespace vanillaworks::dispatch {

/** All upstreams that have announced themselves to an entry. Not thread safe.
 */
class UpstreamDirectory
{
public:
  using Records = std::map<UpstreamId, UpstreamRecord>;

  UpstreamRecord& FindOrAdd(const UpstreamId& aUpstream);
  UpstreamRecord* Find(const UpstreamId& aUpstream);
  void Erase(const UpstreamId& aUpstream) { records_.erase(aUpstream); }
  Records& All() { return records_; }
  const Records& All() const { return records_; }

  /** Whether the task may be sent there now, slots aside. */
  static bool IsEligible(const UpstreamRecord& aRecord,
                         const TaskNeeds& aNeeds,
                         const ConfigurationDocument& aConfiguration,
                         MonotonicTime aNow);

  /** Whether any upstream, in service or not, could ever take the task. */
  bool CouldEverFit(const TaskNeeds& aNeeds) const;

  void OnService(UpstreamRecord& aRecord,
                 const TaskKind& aKind,
                 Microseconds aService);
  /** Microseconds expected there; a guess for what was never seen. */
  double ExpectedService(const UpstreamRecord& aRecord,
                         const TaskKind& aKind) const;

private:
  Records records_;
  std::unordered_map<TaskKind, SpeedEstimate> overall_;
};

}

#endif
