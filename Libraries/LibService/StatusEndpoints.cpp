#include "LibService/StatusEndpoints.h"

#include "LibService/Metrics.h"

namespace vanillaworks::service {

namespace {
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr const char* kPlainText = "text/plain";
}

bool
AnswerStatusRequest(const HttpRequest& aRequest,
                    Readiness aReadiness,
                    const Metrics& aMetrics,
                    const std::shared_ptr<HttpResponder>& aResponder)
{
  if (aRequest.path == "/healthz") {
    aResponder->Reply(kStatusOk, "alive\n", kPlainText);
    return true;
  }
  if (aRequest.path == "/readyz") {
    bool isReady = aReadiness == Readiness::Ready;
    aResponder->Reply(isReady ? kStatusOk : kStatusUnavailable,
                      isReady ? "ready\n" : "not ready\n",
                      kPlainText);
    return true;
  }
  if (aRequest.path == "/metrics") {
    aResponder->Reply(kStatusOk, aMetrics.Text(), kPlainText);
    return true;
  }
  return false;
}

}
