#ifndef Libraries_LibPlatform_FenceRow_h
#define Libraries_LibPlatform_FenceRow_h

#include "LibCore/Ids.h"

#include <map>
#include <string>

namespace vanillaworks::platform {

/** Key of the row that holds the newest fenced incarnation of each entry. */
constexpr const char* kFencesKey = "fences";

/** Skips fences that can't be parsed. Thread safe. */
std::map<EntryId, Incarnation>
DecodeFences(const std::string& aValue);
/** Thread safe. */
std::string
EncodeFences(const std::map<EntryId, Incarnation>& aFences);

}

#endif
