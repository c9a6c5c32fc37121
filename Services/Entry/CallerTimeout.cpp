#include "Services/Entry/CallerTimeout.h"

#include <algorithm>
#include <charconv>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kDefaultTimeout{ 5000 };

std::int64_t
ParseMilliseconds(const std::string& aText)
{
  std::int64_t value = 0;
  const auto* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc{} ? value : 0;
}
}

Milliseconds
CallerTimeout(const std::optional<std::string>& aHeader,
              std::int64_t aRouteTimeoutMs)
{
  auto timeoutMs = aHeader ? ParseMilliseconds(*aHeader) : 0;
  if (timeoutMs <= 0) {
    timeoutMs = aRouteTimeoutMs;
  }
  if (timeoutMs <= 0) {
    return kDefaultTimeout;
  }
  constexpr Milliseconds kMax{ kMaxCallerTimeout };
  return std::min(Milliseconds(timeoutMs), kMax);
}

}
