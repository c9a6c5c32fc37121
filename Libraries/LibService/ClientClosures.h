#ifndef Libraries_LibService_ClientClosures_h
#define Libraries_LibService_ClientClosures_h

#include "LibService/ClientConnections.h"
#include "LibService/Forward.h"

namespace vanillaworks::service {

/** Logs and counts a client connection that a limit has closed. Thread safe. */
void
RecordClosedClient(Metrics& aMetrics, ClientCloseReason aReason);

}

#endif
