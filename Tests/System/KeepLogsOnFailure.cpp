// Makes catch.hpp declare Catch::TestEventListenerBase.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>
#include <cstdlib>

namespace {
/**
 * Keeps the logs of deployments after a failed assertion, because a failure
 * that is seen only once can't be examined without them.
 */
class KeepLogsOnFailure final : public Catch::TestEventListenerBase
{
public:
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& aStats) override
  {
    if (!aStats.assertionResult.isOk()) {
      ::setenv("VANILLAWORKS_KEEP_LOGS", "1", 1);
    }
    return true;
  }
};
}

CATCH_REGISTER_LISTENER(KeepLogsOnFailure)
