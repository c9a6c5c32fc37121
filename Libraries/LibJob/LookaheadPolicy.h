#ifndef Libraries_LibJob_LookaheadPolicy_h
#define Libraries_LibJob_LookaheadPolicy_h

#include "LibJob/StartPolicy.h"

#include <map>

namespace vanillaworks::job {

/**
 * Starts queued runs by priority, with a guaranteed share of the processors for
 * each priority, and with a reservation for the first run that doesn't fit.
 *
 * Answers load above the capacity, with routes of different priority and tasks
 * of different size. A priority that occupies less than its guarantee goes
 * first, so that none is starved; what is left goes by priority and arrival.
 * The first run that doesn't fit gets the earliest time at which enough of the
 * active runs are expected to have ended. Later runs start before it only if
 * they end by then or leave it enough resources (EASY backfilling: Lifka, "The
 * ANL/IBM SP scheduling system", 1995). Thread safe.
 */
class LookaheadPolicy final : public StartPolicy
{
public:
  /**
   * aGuaranteedShare: the part of the processors, 0 to 1, that is divided
   * equally among the priorities with queued or active runs.
   */
  explicit LookaheadPolicy(double aGuaranteedShare)
    : guaranteedShare_(aGuaranteedShare)
  {
  }

  std::vector<std::size_t> RunsToStart(const RunnerLoad& aLoad) const override;
  std::int64_t CpuNeededBefore(const RunnerLoad& aLoad,
                               std::size_t aIndex) const override;
  bool ForecastsByPriority() const override { return true; }

private:
  /** Processors by priority, in thousandths of a core. */
  using CpuByPriority = std::map<std::uint32_t, std::int64_t>;

  /** Processors that active runs occupy; 0 for priorities that only wait. */
  static CpuByPriority OccupiedCpu(const RunnerLoad& aLoad);
  /** Processors that each priority is guaranteed. */
  std::int64_t Guarantee(const RunnerLoad& aLoad,
                         const CpuByPriority& aOccupied) const;

  double guaranteedShare_;
};

}

#endif
