#include "Utilities/Trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillaworks::measure {

namespace {
class TaskTimes
{
public:
  explicit TaskTimes(std::mt19937_64& aGenerator)
    : generator_(aGenerator)
  {
  }

  /** 50 ms to 1 s, evenly on a log scale; one in fifty takes 2 to 4 s. */
  double Next()
  {
    constexpr double kLongShare = 0.02;
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(generator_) < kLongShare) {
      return 2000 + 2000 * unit(generator_);
    }
    return 50 * std::pow(20, unit(generator_));
  }

private:
  std::mt19937_64& generator_;
};

std::size_t
JobSize(std::mt19937_64& aGenerator, std::size_t aLargest)
{
  std::uniform_real_distribution<double> unit(0, 1);
  // Most jobs are small; about one in two hundred has over 200 tasks.
  auto size = std::pow(1 - unit(aGenerator), -1.1) * 2;
  return std::clamp(static_cast<std::size_t>(size), std::size_t{ 2 }, aLargest);
}
}

std::vector<Arrival>
MakeTrace(const TraceOptions& aOptions)
{
  constexpr double kSingleShare = 0.8;
  std::mt19937_64 generator(aOptions.seed);
  std::uniform_real_distribution<double> unit(0, 1);
  TaskTimes times(generator);
  std::vector<Arrival> trace;
  double work = 0;
  // The shapes first, so that their number fits the work that is asked for.
  double burst =
    (aOptions.burstTo - aOptions.burstFrom) * (aOptions.burstFactor - 1);
  double total =
    aOptions.workPerSecond * (aOptions.lengthMilliseconds + burst) / 1000;
  while (work < total) {
    Arrival arrival;
    arrival.isSingle = unit(generator) < kSingleShare;
    auto size = arrival.isSingle ? 1 : JobSize(generator, aOptions.largestJob);
    for (std::size_t i = 0; i < size; ++i) {
      arrival.tasks.push_back(times.Next());
      work += arrival.tasks.back();
    }
    trace.push_back(std::move(arrival));
  }
  // Then the times: even over the length, denser by the factor in the burst.
  double mass = aOptions.lengthMilliseconds + burst;
  for (auto& arrival : trace) {
    double at = unit(generator) * mass;
    if (at > aOptions.burstFrom) {
      double inBurst =
        std::min((at - aOptions.burstFrom) / aOptions.burstFactor,
                 aOptions.burstTo - aOptions.burstFrom);
      at = at - inBurst * (aOptions.burstFactor - 1);
    }
    arrival.at = at;
  }
  std::sort(
    trace.begin(), trace.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.at < aRight.at;
    });
  return trace;
}

}
