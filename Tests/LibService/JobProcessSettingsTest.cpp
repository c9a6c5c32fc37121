#include "LibService/JobProcessSettings.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::service;

namespace {
JobProcessSettings
Read(const std::string& aText)
{
  auto reader = SettingsReader::FromText(aText).ReleaseValue();
  auto settings = JobProcessSettings::Read(reader);
  REQUIRE(reader.Finish().empty());
  return settings;
}
}

TEST_CASE("a reload takes the bound on a stop and leaves the bounds on runs")
{
  auto settings = Read(R"({
    "deployment": "platform", "store_address": "127.0.0.1:1",
    "caller_retry_ms": 1300, "grace_s": 6 })");
  auto runs = settings.bounds;
  settings.Reload(Read(R"({
    "deployment": "platform", "store_address": "127.0.0.1:2",
    "caller_retry_ms": 2600, "grace_s": 9 })"));
  CHECK(settings.grace == std::chrono::seconds(9));
  // With other bounds at its peers a task could run twice at once.
  CHECK(settings.bounds == runs);
  CHECK(settings.storeAddress == "127.0.0.1:1");
}

TEST_CASE("settings out of their range are named")
{
  auto reader = SettingsReader::FromText(R"({
    "deployment": "platform", "store_address": "127.0.0.1:1",
    "caller_retry_ms": 10, "log_format": "loud" })")
                  .ReleaseValue();
  (void)JobProcessSettings::Read(reader);
  CHECK(reader.Finish().size() == 2);
}
