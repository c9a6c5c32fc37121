#include "LibDispatch/RetryBudget.h"

#include <algorithm>

namespace vanillaworks::dispatch {

void
RetryBudget::OnFirstAttempt()
{
  tokens_ = std::min(burst_, tokens_ + share_);
}

RetryDecision
RetryBudget::TryConsume()
{
  if (tokens_ < 1.0) {
    return RetryDecision::BudgetSpent;
  }
  tokens_ -= 1.0;
  return RetryDecision::Allowed;
}

}
