#ifndef Libraries_LibProtocol_RefusalReason_h
#define Libraries_LibProtocol_RefusalReason_h

#include <msgpack.hpp>
#include <string_view>

namespace vanillaworks::protocol {

/** Why the agent's start gate refused a task. A metric counts each. */
enum class RefusalReason : int
{
  None,
  Duplicate,
  Fenced,
  DomainClosed,
  UpstreamLeaving,
  ConfigurationStale,
  DeadlinePassed,
  QueueFull,
  NotRegistered,
  DoesNotFit,
  Cancelled,
  Unknown,
  SetAside
};

/** The reason's text in metrics and responses. Thread safe. */
constexpr std::string_view
RefusalReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::Duplicate:
      return "duplicate";
    case RefusalReason::Fenced:
      return "fenced";
    case RefusalReason::DomainClosed:
      return "domain_closed";
    case RefusalReason::UpstreamLeaving:
      return "upstream_leaving";
    case RefusalReason::ConfigurationStale:
      return "configuration_stale";
    case RefusalReason::DeadlinePassed:
      return "deadline_passed";
    case RefusalReason::QueueFull:
      return "queue_full";
    case RefusalReason::NotRegistered:
      return "not_registered";
    case RefusalReason::DoesNotFit:
      return "does_not_fit";
    case RefusalReason::Cancelled:
      return "cancelled";
    case RefusalReason::Unknown:
      return "unknown";
    case RefusalReason::SetAside:
      return "set_aside";
  }
  return "unknown";
}

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::RefusalReason)

#endif
