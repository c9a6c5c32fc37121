#ifndef Libraries_LibService_SettingsReport_h
#define Libraries_LibService_SettingsReport_h

#include "LibCore/SettingsIssue.h"
#include "LibCore/SettingsReader.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::service {

/** Prints each issue on a line of standard error. Thread safe. */
void
ReportIssues(const std::vector<SettingsIssue>& aIssues);

/** Logs what came of reading the settings file again. */
void
LogReload(const std::vector<SettingsIssue>& aIssues);

/** Reads the settings file again; nothing, and a log line, if it is no good. */
template<typename Settings>
std::optional<Settings>
ReadAgain(const std::string& aPath)
{
  auto reader = SettingsReader::FromFile(aPath);
  if (reader.IsError()) {
    LogReload({ reader.Error() });
    return {};
  }
  auto settings = Settings::Read(reader.ReleaseValue());
  if (settings.IsError()) {
    LogReload(settings.Error());
    return {};
  }
  return settings.ReleaseValue();
}

/** Only checks the file: the process's settings stay as they were. */
template<typename Settings>
void
CheckSettings(const std::string& aPath)
{
  if (ReadAgain<Settings>(aPath)) {
    LogReload({});
  }
}

}

#endif
