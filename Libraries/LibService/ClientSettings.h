#ifndef Libraries_LibService_ClientSettings_h
#define Libraries_LibService_ClientSettings_h

#include "LibCore/SettingsReader.h"
#include "LibService/ClientLimits.h"

namespace vanillaworks::service {

/** Reads the limits on clients; aDefaults holds for those that are not set. */
ClientLimits
ReadClientLimits(SettingsReader& aReader, ClientLimits aDefaults);

}

#endif
