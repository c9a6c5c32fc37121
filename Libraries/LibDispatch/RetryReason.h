#ifndef Libraries_LibDispatch_RetryReason_h
#define Libraries_LibDispatch_RetryReason_h

#include <cstdint>
#include <string_view>

namespace vanillaworks::dispatch {

/** Why a task was placed again. A metric counts each reason. */
enum class RetryReason : std::uint8_t
{
  /** The start gate refused the task, so it certainly did not start. */
  GateRefused,
  /** The task never reached the agent, so it certainly did not start. */
  NeverReceived,
  /** A repeatable request failed at its upstream. */
  UpstreamFailed,
  /** The upstream of a repeatable request was lost. */
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
