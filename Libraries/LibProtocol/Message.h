#ifndef Libraries_LibProtocol_Message_h
#define Libraries_LibProtocol_Message_h

#include "LibProtocol/AgentHello.h"
#include "LibProtocol/Cancel.h"
#include "LibProtocol/ConfigurationUpdate.h"
#include "LibProtocol/EntryHello.h"
#include "LibProtocol/EntryList.h"
#include "LibProtocol/Fence.h"
#include "LibProtocol/FenceReport.h"
#include "LibProtocol/Goodbye.h"
#include "LibProtocol/Heartbeat.h"
#include "LibProtocol/Reconcile.h"
#include "LibProtocol/Registered.h"
#include "LibProtocol/Start.h"
#include "LibProtocol/TaskResult.h"
#include "LibProtocol/Welcome.h"

#include <variant>

namespace vanillaworks::protocol {

/** The order is the wire number of each type: append only. */
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
                             EntryList>;

}

#endif
