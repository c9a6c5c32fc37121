#ifndef Libraries_LibLink_LinkId_h
#define Libraries_LibLink_LinkId_h

#include "LibCore/StrongType.h"

#include <cstdint>

namespace vanillaworks::link {

/** Identifies a link within one process; an id is never reused. */
using LinkId = StrongType<std::uint64_t, struct LinkIdTag>;

}

#endif
