#ifndef Libraries_LibCore_Log_h
#define Libraries_LibCore_Log_h

#include "LibCore/Event.h"
#include "LibCore/LogBuffer.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace vanillaworks {

enum class LogFormat
{
  Text,
  JsonLines
};

/**
 * Numbered events on standard output, one line each. A line waits in a
 * bounded buffer until Flush(); nobody ever waits for the reader.
 */
class Log
{
public:
  using Field = std::pair<std::string_view, std::string>;

  /** Thread safe. */
  static void SetFormat(LogFormat aFormat);
  /** Names the process in each line. Precondition: called before threads. */
  static void SetProcessName(std::string aName);

  /** Thread safe. */
  static void Write(Event aEvent, std::initializer_list<Field> aFields = {});
  /** For steps of what goes well: these are dropped first. Thread safe. */
  static void WriteRoutine(Event aEvent, std::initializer_list<Field> aFields);

  /** Lines that were not written, of all events. Thread safe. */
  static std::uint64_t Dropped();

  /**
   * Hands over what the reader takes without making the process wait. Thread
   * safe; to be called now and then, and before the process ends.
   */
  static void Flush();
};

}

#endif
