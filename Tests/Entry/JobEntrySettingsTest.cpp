#include "Services/Entry/JobEntrySettings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace vanillaworks;
using namespace vanillaworks::entry;

namespace {
/** Reads the required settings and those of aMore. */
Result<JobEntrySettings, std::vector<SettingsIssue>>
Read(const nlohmann::json& aMore)
{
  nlohmann::json settings{ { "deployment", "platform" },
                           { "entry", "e" },
                           { "failure_domain", "d" },
                           { "front_address", "127.0.0.1:1" },
                           { "readiness_address", "127.0.0.1:2" },
                           { "link_address", "127.0.0.1:3" },
                           { "store_address", "127.0.0.1:4" } };
  settings.update(aMore);
  return JobEntrySettings::Read(
    SettingsReader::FromText(settings.dump()).ReleaseValue());
}
}

// A deployment that doesn't ask for overload control must be served as before.
TEST_CASE("without settings of its own an entry admits by goal")
{
  auto settings = Read(nlohmann::json::object());
  REQUIRE_FALSE(settings.IsError());
  const auto& limits = settings.Value().dispatcherLimits;
  CHECK(limits.admission == job::AdmissionKind::ByGoal);
  CHECK(limits.remoteDataFactor == 1.5);
}

TEST_CASE("an entry takes the settings of overload control")
{
  auto settings = Read({ { "admission", "by_priority" },
                         { "guaranteed_share", 0.25 },
                         { "remote_data_factor", 3 },
                         { "max_client_pending_mb", 2 } });
  REQUIRE_FALSE(settings.IsError());
  const auto& limits = settings.Value().dispatcherLimits;
  CHECK(limits.admission == job::AdmissionKind::ByPriority);
  CHECK(limits.guaranteedShare == 0.25);
  CHECK(limits.remoteDataFactor == 3);
  CHECK(settings.Value().process.clientLimits.maxPendingBytes == 2U << 20U);
}

TEST_CASE("settings of overload control that make no sense are refused")
{
  CHECK(Read({ { "admission", "by_chance" } }).IsError());
  CHECK(Read({ { "guaranteed_share", 1.5 } }).IsError());
  CHECK(Read({ { "remote_data_factor", 0.5 } }).IsError());
  CHECK(Read({ { "max_client_pending_mb", 0 } }).IsError());
}
