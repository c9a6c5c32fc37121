#ifndef Libraries_LibDispatch_UpstreamDirectory_h
#define Libraries_LibDispatch_UpstreamDirectory_h

#include "LibDispatch/ConfigurationDocument.h"
#include "LibDispatch/TaskRequirements.h"
#include "LibDispatch/UpstreamRecord.h"

#include <map>
#include <memory>
#include <vector>

namespace vanillaworks::dispatch {

/** All upstreams whose agents have connected to an entry. Not thread safe. */
class UpstreamDirectory
{
public:
  using Records = std::map<UpstreamId, UpstreamRecord>;

  UpstreamRecord& FindOrAdd(const UpstreamId& aUpstream);
  UpstreamRecord* Find(const UpstreamId& aUpstream);
  void Erase(const UpstreamId& aUpstream) { records_.erase(aUpstream); }
  Records& All() { return records_; }
  const Records& All() const { return records_; }

  /** Whether the task may be sent there now, regardless of free slots. */
  static bool IsEligible(const UpstreamRecord& aRecord,
                         const TaskRequirements& aRequirements,
                         const ConfigurationDocument& aConfiguration,
                         MonotonicTime aNow);

  /** Whether any known upstream, in service or not, could run the task. */
  bool HasCapableUpstream(const TaskRequirements& aRequirements) const;

  void AddServiceTime(UpstreamRecord& aRecord,
                      const TaskKind& aKind,
                      Microseconds aService);
  /**
   * The expected service time on that upstream in microseconds: the mean of its
   * own samples, weighted against the mean over all upstreams. It is a default
   * for a kind without any samples.
   */
  double ExpectedServiceTime(const UpstreamRecord& aRecord,
                             const TaskKind& aKind) const;

private:
  Records records_;
  std::unordered_map<TaskKind, ServiceTimeEstimate> overallServiceTimes_;
};

}

#endif
