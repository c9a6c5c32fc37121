#include "Services/Entry/CallerTimeout.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::entry;

// The deadline of such a request overflowed and lay in the past.
TEST_CASE("a caller's timeout that no time can hold is bounded")
{
  auto deadline = MonotonicNow() + CallerTimeout("99999999999999", 1500);
  CHECK(deadline > MonotonicNow());
  CHECK(CallerTimeout("99999999999999", 1500) == kMaxCallerTimeout);
  CHECK(CallerTimeout({}, 99'999'999'999'999) == kMaxCallerTimeout);
}

TEST_CASE(
  "a caller's timeout goes before the route's, and that before a default")
{
  CHECK(CallerTimeout("700", 1500) == Milliseconds(700));
  CHECK(CallerTimeout({}, 1400) == Milliseconds(1400));
  CHECK(CallerTimeout({}, 0) > Milliseconds(0));
  for (const char* unreadable :
       { "", "x", "-5", "0", "999999999999999999999" }) {
    INFO(unreadable);
    CHECK(CallerTimeout(unreadable, 1400) == Milliseconds(1400));
  }
}
