#ifndef Libraries_LibService_Metrics_h
#define Libraries_LibService_Metrics_h

#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace vanillaworks::service {

/** The metrics of a process. All methods are thread safe. */
class Metrics
{
public:
  Metrics();

  /** aName must be listed in MetricsCatalogue.h, which has the help text. */
  prometheus::Counter& Counter(std::string_view aName,
                               const std::string& aLabel = {},
                               const std::string& aValue = {});
  prometheus::Gauge& Gauge(std::string_view aName);
  /** For values that are only computed when the metrics are requested. */
  void SetGauge(std::string_view aName, std::uint64_t aValue);
  prometheus::Histogram& LatencyHistogram(std::string_view aName,
                                          const std::string& aLabel = {},
                                          const std::string& aValue = {});

  /** The text exposition format of Prometheus, version 0.0.4. */
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}

#endif
