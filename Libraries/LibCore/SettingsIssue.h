#ifndef Libraries_LibCore_SettingsIssue_h
#define Libraries_LibCore_SettingsIssue_h

#include <string>

namespace vanillaworks {

enum class SettingsProblem
{
  Unreadable,
  NotJson,
  UnknownKey,
  Missing,
  WrongType,
  OutOfRange,
  Contradiction
};

/** A problem in a settings file and its location. */
struct SettingsIssue
{
  SettingsProblem problem;
  /** Location as a JSON pointer (RFC 6901), for example "/listen/port". */
  std::string path;
  std::string detail;
};

}

#endif
