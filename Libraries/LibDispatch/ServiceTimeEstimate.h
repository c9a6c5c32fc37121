#ifndef Libraries_LibDispatch_ServiceTimeEstimate_h
#define Libraries_LibDispatch_ServiceTimeEstimate_h

#include "LibCore/Time.h"

#include <cstdint>

namespace vanillaworks::dispatch {

/** A moving average of the service time of a task kind. Not thread safe. */
class ServiceTimeEstimate
{
public:
  void Add(Microseconds aService)
  {
    constexpr double kMinSampleWeight = 0.02;
    ++samples_;
    double weight = 1.0 / static_cast<double>(samples_);
    weight = weight > kMinSampleWeight ? weight : kMinSampleWeight;
    mean_ += (static_cast<double>(aService.count()) - mean_) * weight;
  }

  std::uint64_t Samples() const { return samples_; }
  /** Microseconds; 0 before the first sample. */
  double Mean() const { return mean_; }

private:
  double mean_ = 0;
  std::uint64_t samples_ = 0;
};

}

#endif
