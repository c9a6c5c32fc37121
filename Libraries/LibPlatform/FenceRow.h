#ifndef Libraries_LibPlatform_FenceRow_h
#define Libraries_LibPlatform_FenceRow_h

#include "LibCore/Ids.h"

#include <map>
#include <string>

namespace vanillaworks::platform {

/** The row that lists every entry's newest fenced incarnation. */
constexpr const char* kFencesKey = "fences";

/** Thread safe. What can't be read counts as no fence. */
std::map<EntryId, Incarnation>
DecodeFences(const std::string& aValue);
/** Thread safe. */
std::string
EncodeFences(const std::map<EntryId, Incarnation>& aFences);

}

#endif
