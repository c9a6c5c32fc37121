#ifndef Tests_RunEventBase_h
#define Tests_RunEventBase_h

#include "LibCore/Time.h"

#include <event2/event.h>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

namespace vanillaworks::tests {

using EventBase = std::unique_ptr<event_base, decltype(&event_base_free)>;

inline EventBase
NewEventBase()
{
  return { event_base_new(), &event_base_free };
}

/**
 * Returns "host:port" with a host of the loopback range that depends on this
 * process, so that test programs can run side by side.
 */
inline std::string
LoopbackAddress(int aPort)
{
  constexpr int kHosts = 250;
  auto process = static_cast<int>(getpid());
  return "127." + std::to_string(1 + process / kHosts % kHosts) + "." +
         std::to_string(1 + process % kHosts) + ".1:" + std::to_string(aPort);
}

/** Handles the events of aBase as they arrive, for aTime. */
inline void
RunFor(event_base* aBase, Milliseconds aTime)
{
  constexpr Milliseconds kPause{ 2 };
  for (Milliseconds passed{ 0 }; passed < aTime; passed += kPause) {
    event_base_loop(aBase, EVLOOP_NONBLOCK);
    std::this_thread::sleep_for(kPause);
  }
}

}

#endif
