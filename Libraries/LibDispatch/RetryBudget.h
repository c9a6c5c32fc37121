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
 * Limits retries to a share of the first attempts, so that retries don't
 * amplify an overload. Not thread safe.
 */
class RetryBudget
{
public:
  /**
   * aShare: retries allowed per first attempt. aBurst: upper bound of the
   * accumulated budget, which starts full.
   */
  RetryBudget(double aShare, double aBurst)
    : share_(aShare)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  void OnFirstAttempt();
  RetryDecision TryConsume();

private:
  double share_;
  double burst_;
  double tokens_;
};

}

#endif
