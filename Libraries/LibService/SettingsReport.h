#ifndef Libraries_LibService_SettingsReport_h
#define Libraries_LibService_SettingsReport_h

#include "LibCore/SettingsIssue.h"
#include "LibCore/SettingsReader.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::service {

/** Prints each issue on its own line to standard error. Thread safe. */
void
PrintSettingsIssues(const std::vector<SettingsIssue>& aIssues);

/** Logs the outcome of reloading the settings file. Thread safe. */
void
LogSettingsReload(const std::vector<SettingsIssue>& aIssues);

/** Reloads the settings file; logs issues and returns std::nullopt on error. */
template<typename Settings>
std::optional<Settings>
ReloadSettings(const std::string& aPath)
{
  auto reader = SettingsReader::FromFile(aPath);
  if (reader.IsError()) {
    LogSettingsReload({ reader.Error() });
    return {};
  }
  auto settings = Settings::Read(reader.ReleaseValue());
  if (settings.IsError()) {
    LogSettingsReload(settings.Error());
    return {};
  }
  return settings.ReleaseValue();
}

/** Validates the file and logs the outcome; applies no settings. */
template<typename Settings>
void
CheckSettings(const std::string& aPath)
{
  if (ReloadSettings<Settings>(aPath)) {
    LogSettingsReload({});
  }
}

}

#endif
