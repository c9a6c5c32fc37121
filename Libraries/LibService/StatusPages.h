#ifndef Libraries_LibService_StatusPages_h
#define Libraries_LibService_StatusPages_h

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
 * Answers "/healthz", "/readyz" and "/metrics". Thread safe. False for any
 * other path, which is not answered.
 */
bool
AnswerStatusPage(const HttpRequest& aRequest,
                 Readiness aReadiness,
                 const Metrics& aMetrics,
                 const std::shared_ptr<HttpReplier>& aReplier);

}

#endif
