#include "LibService/SettingsReport.h"

#include "LibCore/Log.h"

#include <cstdio>
#include <fmt/format.h>

namespace vanillaworks::service {

namespace {
const char*
ProblemName(SettingsProblem aProblem)
{
  switch (aProblem) {
    case SettingsProblem::Unreadable:
      return "unreadable";
    case SettingsProblem::NotJson:
      return "not_json";
    case SettingsProblem::UnknownKey:
      return "unknown_key";
    case SettingsProblem::Missing:
      return "missing";
    case SettingsProblem::WrongType:
      return "wrong_type";
    case SettingsProblem::OutOfRange:
      return "out_of_range";
    case SettingsProblem::Contradiction:
      return "contradiction";
  }
  return "unknown";
}
}

void
PrintSettingsIssues(const std::vector<SettingsIssue>& aIssues)
{
  for (const auto& issue : aIssues) {
    fmt::print(stderr,
               "settings: {}: {}: {}\n",
               issue.path,
               ProblemName(issue.problem),
               issue.detail);
  }
}

void
LogSettingsReload(const std::vector<SettingsIssue>& aIssues)
{
  if (aIssues.empty()) {
    Log::Write(Event::SettingsReloaded, { { "outcome", "valid" } });
    return;
  }
  for (const auto& issue : aIssues) {
    Log::Write(Event::SettingsReloaded,
               { { "outcome", ProblemName(issue.problem) },
                 { "path", issue.path },
                 { "detail", issue.detail } });
  }
}

}
