#ifndef Libraries_LibLink_LinkId_h
#define Libraries_LibLink_LinkId_h

#include "LibCore/StrongType.h"

#include <cstdint>

namespace vanillaworks::link {

/** Numbers the links of one process; never used twice. */
using LinkId = StrongType<std::uint64_t, struct LinkIdTag>;

}

#endif
