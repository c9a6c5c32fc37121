#include "LibService/ClientClosures.h"

#include "LibCore/Log.h"
#include "LibService/Metrics.h"

namespace vanillaworks::service {

void
RecordClosedClient(Metrics& aMetrics, ClientCloseReason aReason)
{
  std::string reason(ClientCloseReasonName(aReason));
  aMetrics.Counter("vanillaworks_clients_closed_total", "reason", reason)
    .Increment();
  Log::WriteRoutine(Event::ClientClosed, { { "reason", reason } });
}

}
