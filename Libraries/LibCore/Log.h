#ifndef Libraries_LibCore_Log_h
#define Libraries_LibCore_Log_h

#include "LibCore/Event.h"

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

/** Writes numbered events to standard error, one line each. */
class Log
{
public:
  using Field = std::pair<std::string_view, std::string>;

  /** Thread safe. */
  static void SetFormat(LogFormat aFormat);

  /** Names the process in each line. Precondition: called before threads. */
  static void SetProcessName(std::string aName);

  /** Thread safe: a line is written whole. */
  static void Write(Event aEvent, std::initializer_list<Field> aFields = {});
};

}

#endif
