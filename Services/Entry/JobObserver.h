#ifndef Services_Entry_JobObserver_h
#define Services_Entry_JobObserver_h

#include "LibCore/Event.h"
#include "LibJob/JobAnswer.h"
#include "LibJob/JobEvent.h"
#include "LibJob/JobRequest.h"
#include "LibService/ClientConnections.h"
#include "LibService/Metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace vanillaworks::entry {

/** The values of the gauges on the metrics endpoint. */
struct EntryGauges
{
  std::size_t links;
  std::size_t inFlight;
  std::size_t clients;
  std::uint64_t version;
  Milliseconds configurationAge;
  /** The longest time since a linked upstream was last heard. */
  Milliseconds upstreamAge;
};

/**
 * Logs an entry's decisions about jobs and counts them in metrics. Used only on
 * the event loop's thread.
 */
class JobObserver
{
public:
  JobObserver();

  void OnAnswered(const job::JobRequest& aJob,
                  const job::JobAnswer& aAnswer,
                  int aStatus,
                  Milliseconds aElapsed);
  void OnPlaced(const job::TaskPlaced& aEvent);
  void OnEnded(const job::TaskEnded& aEvent);
  void OnReleased(const job::TaskReleased& aEvent);
  /** aWaited: time since the job's request arrived. */
  void OnCallerGone(const SubmissionId& aJob, Milliseconds aWaited);
  /**
   * Records a request that was rejected without a parsed job.
   * aField: the log field, "path" or "job"; aIdentifier: its value.
   */
  void OnRejectedUnparsed(std::string_view aField,
                          const std::string& aIdentifier,
                          std::string_view aReason);
  void OnNoRoute(const std::string& aPath,
                 const std::string& aHost,
                 std::uint64_t aVersion);
  /** Records a connection that a limit on clients has closed. */
  void OnClientClosed(service::ClientCloseReason aReason);
  void OnStoreCall(std::string_view aOutcome);

  /** Sets the gauges and returns the body of the metrics response. */
  std::string FormatMetrics(const EntryGauges& aGauges);

private:
  /** The histograms of one route, looked up once rather than per task. */
  struct RouteSeries
  {
    prometheus::Histogram& answer;
    prometheus::Histogram& waiting;
    prometheus::Histogram& running;
  };

  void CountRefusal(std::string_view aReason);
  /** Returns the series "other" for new routes once the limit is reached. */
  const RouteSeries& SeriesOf(const std::string& aRoute);

  service::Metrics metrics_;
  prometheus::Counter& starts_;
  prometheus::Histogram& placementError_;
  std::map<std::string, RouteSeries> routes_;
};

}

#endif
