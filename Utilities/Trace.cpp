#include "Utilities/Trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillaworks::measure {

namespace {
class TaskTimeDistribution
{
public:
  explicit TaskTimeDistribution(std::mt19937_64& aGenerator)
    : generator_(aGenerator)
  {
  }

  /**
   * Returns milliseconds: log-uniform from 50 ms to 1 s, but uniform from 2 s
   * to 4 s for one task in fifty.
   */
  double Sample()
  {
    constexpr double kLongShare = 0.02;
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(generator_) < kLongShare) {
      return 2000 + 2000 * uniform(generator_);
    }
    return 50 * std::pow(20, uniform(generator_));
  }

private:
  std::mt19937_64& generator_;
};

std::size_t
SampleJobSize(std::mt19937_64& aGenerator, std::size_t aMaxTasks)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  // Pareto distribution: most jobs are small, and about one in two hundred has
  // more than 200 tasks.
  auto size = std::pow(1 - uniform(aGenerator), -1.1) * 2;
  return std::clamp(
    static_cast<std::size_t>(size), std::size_t{ 2 }, aMaxTasks);
}
}

std::vector<Arrival>
GenerateTrace(const TraceOptions& aOptions)
{
  constexpr double kSingleShare = 0.8;
  std::mt19937_64 generator(aOptions.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  TaskTimeDistribution distribution(generator);
  std::vector<Arrival> trace;
  double workMs = 0;
  // Task times are drawn before arrival times, so that arrivals are added until
  // they reach the requested total work.
  double extraBurstMs =
    (aOptions.burstUntilMs - aOptions.burstFromMs) * (aOptions.burstFactor - 1);
  double targetWorkMs =
    aOptions.workMsPerSecond * (aOptions.lengthMs + extraBurstMs) / 1000;
  while (workMs < targetWorkMs) {
    Arrival arrival;
    arrival.isSingleRequest = uniform(generator) < kSingleShare;
    auto size = arrival.isSingleRequest
                  ? 1
                  : SampleJobSize(generator, aOptions.maxTasksPerJob);
    for (std::size_t i = 0; i < size; ++i) {
      arrival.taskTimesMs.push_back(distribution.Sample());
      workMs += arrival.taskTimesMs.back();
    }
    trace.push_back(std::move(arrival));
  }
  // Arrival times are uniform over the trace; during the burst their density is
  // burstFactor times as high.
  double weightedLengthMs = aOptions.lengthMs + extraBurstMs;
  for (auto& arrival : trace) {
    double atMs = uniform(generator) * weightedLengthMs;
    if (atMs > aOptions.burstFromMs) {
      double burstElapsedMs =
        std::min((atMs - aOptions.burstFromMs) / aOptions.burstFactor,
                 aOptions.burstUntilMs - aOptions.burstFromMs);
      atMs = atMs - burstElapsedMs * (aOptions.burstFactor - 1);
    }
    arrival.atMs = atMs;
  }
  std::sort(
    trace.begin(), trace.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.atMs < aRight.atMs;
    });
  return trace;
}

}
