#ifndef Tests_RunEventBase_h
#define Tests_RunEventBase_h

#include "LibCore/Time.h"

#include <event2/event.h>
#include <memory>
#include <thread>

namespace vanillaworks::tests {

using EventBase = std::unique_ptr<event_base, decltype(&event_base_free)>;

inline EventBase
NewEventBase()
{
  return { event_base_new(), &event_base_free };
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
