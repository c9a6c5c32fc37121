#ifndef Services_Entry_CallerTimeout_h
#define Services_Entry_CallerTimeout_h

#include "LibCore/Time.h"

#include <optional>
#include <string>

namespace vanillaworks::entry {

/** No caller waits longer, whatever its request says. */
inline constexpr std::chrono::minutes kMaxCallerTimeout{ 10 };

/**
 * How long the caller of a request waits: what its header says in milliseconds,
 * else the route's timeout, else a default. Values of zero or less and those
 * that can't be read count as missing. Thread safe.
 */
Milliseconds
CallerTimeout(const std::optional<std::string>& aHeader,
              std::int64_t aRouteTimeoutMs);

}

#endif
