#include "LibService/JobProcessSettings.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::service;

namespace {
JobProcessSettings
ReadSettings(const std::string& aText)
{
  auto reader = SettingsReader::FromText(aText).ReleaseValue();
  auto settings = JobProcessSettings::Read(reader);
  REQUIRE(reader.Finish().empty());
  return settings;
}
}

TEST_CASE("a reload applies the grace period and keeps the bounds on runs")
{
  auto settings = ReadSettings(R"({
    "deployment": "platform", "store_address": "127.0.0.1:1",
    "caller_retry_ms": 1300, "grace_s": 6 })");
  auto oldBounds = settings.bounds;
  settings.Reload(ReadSettings(R"({
    "deployment": "platform", "store_address": "127.0.0.1:2",
    "caller_retry_ms": 2600, "grace_s": 9 })"));
  CHECK(settings.grace == std::chrono::seconds(9));
  // Processes with different bounds could run a task twice at once.
  CHECK(settings.bounds == oldBounds);
  CHECK(settings.storeAddress == "127.0.0.1:1");
}

TEST_CASE("settings out of range are reported")
{
  auto reader = SettingsReader::FromText(R"({
    "deployment": "platform", "store_address": "127.0.0.1:1",
    "caller_retry_ms": 10, "log_format": "loud" })")
                  .ReleaseValue();
  (void)JobProcessSettings::Read(reader);
  CHECK(reader.Finish().size() == 2);
}
