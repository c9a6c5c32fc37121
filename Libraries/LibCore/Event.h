#ifndef Libraries_LibCore_Event_h
#define Libraries_LibCore_Event_h

#include "LibCore/EventCatalogue.h"

#include <cstdint>
#include <string_view>

namespace vanillaworks {

enum class Event : std::uint16_t
{
#define VW_EVENT_VALUE(number, name, meaning) name = number,
  VW_FOR_EACH_EVENT(VW_EVENT_VALUE)
#undef VW_EVENT_VALUE
};

/** The enumerator's name as written to the log. Thread safe. */
constexpr std::string_view
EventName(Event aEvent)
{
  switch (aEvent) {
#define VW_EVENT_NAME(number, name, meaning)                                   \
  case Event::name:                                                            \
    return #name;
    VW_FOR_EACH_EVENT(VW_EVENT_NAME)
#undef VW_EVENT_NAME
  }
  return "Unknown";
}

/** The description of the event in the catalogue. Thread safe. */
constexpr std::string_view
EventMeaning(Event aEvent)
{
  switch (aEvent) {
#define VW_EVENT_MEANING(number, name, meaning)                                \
  case Event::name:                                                            \
    return meaning;
    VW_FOR_EACH_EVENT(VW_EVENT_MEANING)
#undef VW_EVENT_MEANING
  }
  return "";
}

}

#endif
