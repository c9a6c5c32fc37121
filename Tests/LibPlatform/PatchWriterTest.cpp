#include "LibPlatform/PatchWriter.h"
#include "Tests/LibPlatform/InMemoryTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vanillaworks;
using namespace vanillaworks::platform;
using namespace vanillaworks::test;
using namespace std::chrono_literals;

TEST_CASE(
  "each operator learns correctly whether its patch became the next version",
  "[differential][invariant-9]")
{
  CHECK(rc::check([] {
    InMemoryTable table;
    int faults = *rc::gen::inRange(0, 4);
    table.nextFault = [&faults] {
      return faults-- > 0 ? *rc::gen::element(Fault::None, Fault::ResponseLost)
                          : Fault::None;
    };
    std::uint64_t inForce = 0;
    auto patches = *rc::gen::inRange(1, 5);
    for (int i = 0; i < patches; ++i) {
      PatchWriter writer(table);
      auto base = *rc::gen::inRange<std::uint64_t>(0, inForce + 2);
      auto outcome = writer.Apply(ConfigurationVersion(base),
                                  R"({"teams":{}})",
                                  std::to_string(i),
                                  MonotonicNow() + 10s);
      if (base == inForce) {
        RC_ASSERT(std::holds_alternative<PatchApplied>(outcome));
        ++inForce;
      } else {
        const auto* mismatch = std::get_if<PatchVersionMismatch>(&outcome);
        RC_ASSERT(mismatch != nullptr);
        RC_ASSERT(mismatch->current.Value() == inForce);
      }
    }
  }));
}

TEST_CASE("a patch certainly has no effect if the table is unavailable")
{
  InMemoryTable table;
  table.nextFault = [] { return Fault::Unavailable; };
  PatchWriter writer(table);
  auto outcome = writer.Apply(
    ConfigurationVersion(0), R"({"teams":{}})", "n", MonotonicNow() + 1s);
  CHECK(std::holds_alternative<PatchTableUnavailable>(outcome));
  CHECK(table.rows.empty());
}
