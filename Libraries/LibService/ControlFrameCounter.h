#ifndef Libraries_LibService_ControlFrameCounter_h
#define Libraries_LibService_ControlFrameCounter_h

#include "LibProtocol/Message.h"
#include "LibService/Metrics.h"

#include <array>

namespace vanillaworks::service {

/** Counts the frames that carry no task, by message type. Not thread safe. */
class ControlFrameCounter
{
public:
  explicit ControlFrameCounter(Metrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  void Count(const protocol::Message& aMessage)
  {
    auto& counter = counters_[aMessage.index()];
    if (!counter) {
      counter = &metrics_.Counter("vanillaworks_control_frames_total",
                                  "type",
                                  protocol::MessageName(aMessage));
    }
    counter->Increment();
  }

private:
  Metrics& metrics_;
  std::array<prometheus::Counter*, std::variant_size_v<protocol::Message>>
    counters_{};
};

}

#endif
