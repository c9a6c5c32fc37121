#ifndef Libraries_LibProtocol_Message_h
#define Libraries_LibProtocol_Message_h

#include "LibProtocol/AgentHello.h"
#include "LibProtocol/Cancel.h"
#include "LibProtocol/CancelledJobs.h"
#include "LibProtocol/ConfigurationUpdate.h"
#include "LibProtocol/ControlRequest.h"
#include "LibProtocol/ControlUpdate.h"
#include "LibProtocol/EntryHello.h"
#include "LibProtocol/EntryList.h"
#include "LibProtocol/Fence.h"
#include "LibProtocol/FenceReport.h"
#include "LibProtocol/Goodbye.h"
#include "LibProtocol/Heartbeat.h"
#include "LibProtocol/LostRuns.h"
#include "LibProtocol/Reconcile.h"
#include "LibProtocol/Registered.h"
#include "LibProtocol/RunOrder.h"
#include "LibProtocol/RunReport.h"
#include "LibProtocol/RunResume.h"
#include "LibProtocol/Start.h"
#include "LibProtocol/TaskResult.h"
#include "LibProtocol/UpstreamFigures.h"
#include "LibProtocol/UpstreamStatus.h"
#include "LibProtocol/Welcome.h"

#include <array>
#include <string>
#include <variant>

namespace vanillaworks::protocol {

/** The index of a type is its number on the wire: append only. */
using Message = std::variant<Heartbeat,
                             AgentHello,
                             EntryHello,
                             Welcome,
                             Start,
                             TaskResult,
                             Cancel,
                             Fence,
                             FenceReport,
                             Reconcile,
                             ConfigurationUpdate,
                             Goodbye,
                             Registered,
                             EntryList,
                             UpstreamStatus,
                             RunResume,
                             RunOrder,
                             RunReport,
                             RunCancel,
                             ControlUpdate,
                             ControlRequest,
                             UpstreamFigures,
                             LostRuns,
                             CancelledJobs>;

/** The message type's name as used in metric labels. Thread safe. */
inline std::string
MessageName(const Message& aMessage)
{
  constexpr std::array<const char*, std::variant_size_v<Message>> kNames{
    "heartbeat",
    "agent_hello",
    "entry_hello",
    "welcome",
    "start",
    "task_result",
    "cancel",
    "fence",
    "fence_report",
    "reconcile",
    "configuration_update",
    "goodbye",
    "registered",
    "entry_list",
    "upstream_status",
    "run_resume",
    "run_order",
    "run_report",
    "run_cancel",
    "control_update",
    "control_request",
    "upstream_figures",
    "lost_runs",
    "cancelled_jobs"
  };
  return kNames[aMessage.index()];
}

}

#endif
