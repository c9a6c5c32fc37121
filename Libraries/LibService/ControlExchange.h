#ifndef Libraries_LibService_ControlExchange_h
#define Libraries_LibService_ControlExchange_h

#include "LibCore/Time.h"
#include "LibJob/ControlFetchLimiter.h"
#include "LibJob/ControlView.h"
#include "LibProtocol/Frame.h"

#include <functional>
#include <optional>
#include <string>

namespace vanillaworks::service {

/**
 * Keeps a process's view of the operators' word as new as any peer's: asks a
 * peer that knows more, answers one that asks, and logs what is adopted. Not
 * thread safe.
 */
class ControlExchange
{
public:
  using OnAdopted = std::function<void(MonotonicTime aNow)>;

  /** aView must outlive this; aOnAdopted is called after each change. */
  ControlExchange(job::ControlView& aView, OnAdopted aOnAdopted);

  /** aFrom names who brought it, for the log. */
  void Adopt(protocol::ControlUpdate aUpdate,
             const std::string& aFrom,
             MonotonicTime aNow);
  /** Takes what the frame says of the configuration; returns what to reply. */
  std::optional<protocol::Message> OnFrame(protocol::Frame& aFrame,
                                           const std::string& aPeer,
                                           MonotonicTime aNow);

  /** When news was last adopted. */
  MonotonicTime AdoptedAt() const { return adoptedAt_; }

private:
  job::ControlView& view_;
  OnAdopted onAdopted_;
  job::ControlFetchLimiter pull_;
  MonotonicTime adoptedAt_;
};

}

#endif
