#ifndef Libraries_LibDispatch_RetryReason_h
#define Libraries_LibDispatch_RetryReason_h

#include <cstdint>
#include <string_view>

namespace vanillaworks::dispatch {

/** Why a task was placed again. Each is counted by a metric. */
enum class RetryReason : std::uint8_t
{
  /** A gate refused it: certain that it did not start. */
  GateRefused,
  /** It never reached the agent: certain that it did not start. */
  NeverReceived,
  /** A repeatable request failed at its upstream. */
  UpstreamFailed,
  /** A repeatable request's upstream was lost. */
  UpstreamLost
};

/** Thread safe. */
constexpr std::string_view
RetryReasonName(RetryReason aReason)
{
  switch (aReason) {
    case RetryReason::GateRefused:
      return "gate_refused";
    case RetryReason::NeverReceived:
      return "never_received";
    case RetryReason::UpstreamFailed:
      return "upstream_failed";
    case RetryReason::UpstreamLost:
      return "upstream_lost";
  }
  return "gate_refused";
}

}

#endif
