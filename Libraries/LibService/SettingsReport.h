#ifndef Libraries_LibService_SettingsReport_h
#define Libraries_LibService_SettingsReport_h

#include "LibCore/SettingsIssue.h"

#include <vector>

namespace vanillaworks::service {

/** Prints each issue on a line of standard error. Thread safe. */
void
ReportIssues(const std::vector<SettingsIssue>& aIssues);

}

#endif
