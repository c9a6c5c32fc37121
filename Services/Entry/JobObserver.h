#ifndef Services_Entry_JobObserver_h
#define Services_Entry_JobObserver_h

#include "LibCore/Event.h"
#include "LibJob/JobAnswer.h"
#include "LibJob/JobEvent.h"
#include "LibJob/JobRequest.h"
#include "LibService/Metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace vanillaworks::entry {

/** What the metrics page shows beside counters and histograms. */
struct EntryGauges
{
  std::size_t links;
  std::size_t inFlight;
  std::uint64_t version;
  Milliseconds configurationAge;
  /** Of the linked upstream that was silent longest. */
  Milliseconds upstreamAge;
};

/**
 * Logs and counts what an entry decides about jobs. Lives on the event loop's
 * thread.
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
  /** aIdentifier names it: its path, or its id. */
  void OnRejectedUnparsed(std::string_view aField,
                          const std::string& aIdentifier,
                          std::string_view aReason);
  void OnNoRoute(const std::string& aPath,
                 const std::string& aHost,
                 std::uint64_t aVersion);
  void OnStoreCall(std::string_view aOutcome);

  /** The text of the metrics page. */
  std::string FormatMetrics(const EntryGauges& aGauges);

private:
  /** Looked up once, not for each task. */
  struct RouteSeries
  {
    prometheus::Histogram& answer;
    prometheus::Histogram& waiting;
    prometheus::Histogram& running;
  };

  void CountRefusal(std::string_view aReason);
  /** Those of "other" once there are too many routes to tell apart. */
  const RouteSeries& SeriesOf(const std::string& aRoute);

  service::Metrics metrics_;
  prometheus::Counter& starts_;
  prometheus::Histogram& placementError_;
  std::map<std::string, RouteSeries> routes_;
};

}

#endif
