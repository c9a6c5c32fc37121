#ifndef Libraries_LibDispatch_RetryBudget_h
#define Libraries_LibDispatch_RetryBudget_h

#include <cstdint>

namespace vanillaworks::dispatch {

enum class RetryDecision : std::uint8_t
{
  Allowed,
  BudgetSpent
};

/**
 * Bounds repeated starts to a share of fresh work, so that retries never
 * multiply an overload. Not thread safe.
 */
class RetryBudget
{
public:
  /** aShare: retries allowed per fresh request; aBurst: saved up at most. */
  RetryBudget(double aShare, double aBurst)
    : share_(aShare)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  void OnFreshWork();
  RetryDecision Take();

private:
  double share_;
  double burst_;
  double tokens_;
};

}

#endif
