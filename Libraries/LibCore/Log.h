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
 * Writes numbered events to standard output, one line each. Lines are held in
 * a bounded buffer until Flush(); no call blocks on a slow reader.
 */
class Log
{
public:
  using Field = std::pair<std::string_view, std::string>;

  /** Thread safe. */
  static void SetFormat(LogFormat aFormat);
  /**
   * Sets the process name that each line carries. Not thread safe.
   * Precondition: no other thread has been started.
   */
  static void SetProcessName(std::string aName);

  /** Thread safe. */
  static void Write(Event aEvent, std::initializer_list<Field> aFields = {});
  /** Logs a step of normal operation, dropped first. Thread safe. */
  static void WriteRoutine(Event aEvent, std::initializer_list<Field> aFields);

  /** The number of dropped lines of all events so far. Thread safe. */
  static std::uint64_t Dropped();

  /**
   * Writes buffered lines while standard output accepts them without blocking.
   * Must be called periodically and before the process exits. Thread safe.
   */
  static void Flush();
};

}

#endif
