#ifndef Libraries_LibService_ControlLog_h
#define Libraries_LibService_ControlLog_h

#include "LibProtocol/ControlUpdate.h"

#include <string>

namespace vanillaworks::service {

/**
 * Logs that aAfter replaced aBefore, and the failure domains that it closed or
 * opened. aSource names the sender of aAfter. Thread safe.
 */
void
LogAdoption(const protocol::ControlUpdate& aBefore,
            const protocol::ControlUpdate& aAfter,
            const std::string& aSource);

}

#endif
