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
 * Keeps a process's copy of the operators' configuration up to date: requests
 * it from a peer that has a newer revision, replies to such requests, and logs
 * each adoption. Not thread safe.
 */
class ControlExchange
{
public:
  using OnAdopted = std::function<void(MonotonicTime aNow)>;

  /** aView must outlive this object. aOnAdopted is called after each change. */
  ControlExchange(job::ControlView& aView, OnAdopted aOnAdopted);

  /** Adopts aUpdate if it is newer. aSource names its sender in the log. */
  void Adopt(protocol::ControlUpdate aUpdate,
             const std::string& aSource,
             MonotonicTime aNow);
  /**
   * Processes a frame's control revision and control message; returns the
   * message to send back, if any.
   */
  std::optional<protocol::Message> OnFrame(protocol::Frame& aFrame,
                                           const std::string& aPeer,
                                           MonotonicTime aNow);

  /** Time of the last adoption. */
  MonotonicTime AdoptedAt() const { return adoptedAt_; }

private:
  job::ControlView& view_;
  OnAdopted onAdopted_;
  job::ControlFetchLimiter fetchLimiter_;
  MonotonicTime adoptedAt_;
};

}

#endif
