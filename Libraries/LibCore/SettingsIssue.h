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

/** One thing wrong with a settings file, and where. */
struct SettingsIssue
{
  SettingsProblem problem;
  /** The place as a JSON pointer (RFC 6901), for example "/listen/port". */
  std::string path;
  std::string detail;
};

}

#endif
