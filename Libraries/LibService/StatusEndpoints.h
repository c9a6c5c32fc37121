#ifndef Libraries_LibService_StatusEndpoints_h
#define Libraries_LibService_StatusEndpoints_h

#include "LibService/HttpHandler.h"

#include <cstdint>
#include <memory>

namespace vanillaworks::service {

enum class Readiness : std::uint8_t
{
  NotReady,
  Ready
};

/**
 * Replies to "/healthz", "/readyz" and "/metrics". Returns false for any other
 * path without replying. Thread safe.
 */
bool
AnswerStatusRequest(const HttpRequest& aRequest,
                    Readiness aReadiness,
                    const Metrics& aMetrics,
                    const std::shared_ptr<HttpResponder>& aResponder);

}

#endif
