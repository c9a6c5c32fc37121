#include "LibService/Metrics.h"

#include "LibService/MetricsCatalogue.h"

#include <algorithm>
#include <iterator>
#include <prometheus/text_serializer.h>

namespace vanillaworks::service {

namespace {
std::string
FindHelp(std::string_view aName)
{
  const auto* found =
    std::find_if(std::begin(kMetrics),
                 std::end(kMetrics),
                 [aName](const auto& aItem) { return aItem.name == aName; });
  return found == std::end(kMetrics) ? std::string() : std::string(found->help);
}

prometheus::Labels
MakeLabels(const std::string& aLabel, const std::string& aValue)
{
  return aLabel.empty() ? prometheus::Labels{}
                        : prometheus::Labels{ { aLabel, aValue } };
}
}

Metrics::Metrics()
  : registry_(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter&
Metrics::Counter(std::string_view aName,
                 const std::string& aLabel,
                 const std::string& aValue)
{
  return prometheus::BuildCounter()
    .Name(std::string(aName))
    .Help(FindHelp(aName))
    .Register(*registry_)
    .Add(MakeLabels(aLabel, aValue));
}

prometheus::Gauge&
Metrics::Gauge(std::string_view aName)
{
  return prometheus::BuildGauge()
    .Name(std::string(aName))
    .Help(FindHelp(aName))
    .Register(*registry_)
    .Add({});
}

void
Metrics::SetGauge(std::string_view aName, std::uint64_t aValue)
{
  Gauge(aName).Set(static_cast<double>(aValue));
}

prometheus::Histogram&
Metrics::LatencyHistogram(std::string_view aName,
                          const std::string& aLabel,
                          const std::string& aValue)
{
  const prometheus::Histogram::BucketBoundaries bucketsSeconds{
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60
  };
  return prometheus::BuildHistogram()
    .Name(std::string(aName))
    .Help(FindHelp(aName))
    .Register(*registry_)
    .Add(MakeLabels(aLabel, aValue), bucketsSeconds);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}
