#include "LibCore/SettingsReader.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;

TEST_CASE("an integer above the signed range is out of range, not negative")
{
  auto reader = SettingsReader::FromText(R"({"a": 18446744073709551615})");
  REQUIRE_FALSE(reader.IsError());
  auto settings = reader.ReleaseValue();
  CHECK(settings.GetInteger("a", 7, { -10, 10 }) == 7);
  auto issues = settings.Finish();
  REQUIRE(issues.size() == 1);
  CHECK(issues[0].problem == SettingsProblem::OutOfRange);
}

TEST_CASE("all issues of a file are reported together with their paths")
{
  auto reader = SettingsReader::FromText(R"({
    // Comments are allowed.
    "port": 70000, "name": 5, "colour": "red", "list": ["a", 2]
  })");
  REQUIRE_FALSE(reader.IsError());
  auto settings = reader.ReleaseValue();
  CHECK(settings.GetInteger("port", 1, { 1, 65535 }) == 1);
  CHECK(settings.RequireString("name").empty());
  CHECK(settings.RequireString("address").empty());
  CHECK(settings.GetStrings("list").size() == 1);
  auto issues = settings.Finish();
  REQUIRE(issues.size() == 5);
  CHECK(issues[0].problem == SettingsProblem::OutOfRange);
  CHECK(issues[0].path == "/port");
  CHECK(issues[1].problem == SettingsProblem::WrongType);
  CHECK(issues[2].problem == SettingsProblem::Missing);
  CHECK(issues[2].path == "/address");
  CHECK(issues[3].path == "/list/1");
  CHECK(issues[4].problem == SettingsProblem::UnknownKey);
  CHECK(issues[4].path == "/colour");
}

TEST_CASE("text that is not JSON is rejected as NotJson")
{
  auto reader = SettingsReader::FromText("{ \"a\": }");
  REQUIRE(reader.IsError());
  CHECK(reader.Error().problem == SettingsProblem::NotJson);
}
