#include "LibService/ControlExchange.h"

#include "LibService/ControlLog.h"

namespace vanillaworks::service {

ControlExchange::ControlExchange(job::ControlView& aView, OnAdopted aOnAdopted)
  : view_(aView)
  , onAdopted_(std::move(aOnAdopted))
{
}

void
ControlExchange::Adopt(protocol::ControlUpdate aUpdate,
                       const std::string& aSource,
                       MonotonicTime aNow)
{
  auto before = view_.Current();
  if (!view_.Adopt(std::move(aUpdate))) {
    return;
  }
  adoptedAt_ = aNow;
  LogAdoption(before, view_.Current(), aSource);
  onAdopted_(aNow);
}

std::optional<protocol::Message>
ControlExchange::OnFrame(protocol::Frame& aFrame,
                         const std::string& aPeer,
                         MonotonicTime aNow)
{
  auto& message = aFrame.message;
  if (auto* update = std::get_if<protocol::ControlUpdate>(&message)) {
    fetchLimiter_.OnAnswered();
    Adopt(std::move(*update), aPeer, aNow);
    return {};
  }
  const auto* request = std::get_if<protocol::ControlRequest>(&message);
  if (request && request->revision < view_.Revision()) {
    return view_.Current();
  }
  bool shouldRequest = fetchLimiter_.ShouldFetch(
    aFrame.header.controlRevision, view_.Revision(), aNow);
  if (!shouldRequest) {
    return {};
  }
  return protocol::ControlRequest{ view_.Revision() };
}

}
