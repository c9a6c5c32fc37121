#include "LibDispatch/ConfigurationDocument.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::dispatch {

namespace {
using Json = nlohmann::json;
constexpr std::int64_t kMaxTasksInFlightLimit = 1'000'000;

/** Returns the members of a section whose "state" is aOut; aIn is the other. */
template<typename Id>
Result<std::set<Id>, PatchProblem>
ReadOutOfService(const Json& aDocument,
                 const std::string& aSection,
                 const std::string& aIn,
                 const std::string& aOut)
{
  std::set<Id> outOfService;
  auto section = aDocument.find(aSection);
  if (section == aDocument.end()) {
    return outOfService;
  }
  if (!section->is_object()) {
    return Failure{ PatchProblem{ PatchProblemKind::WrongType,
                                  "/" + aSection } };
  }
  for (const auto& [name, member] : section->items()) {
    auto path = "/" + aSection + "/" + name;
    if (!member.is_object()) {
      return Failure{ PatchProblem{ PatchProblemKind::WrongType, path } };
    }
    for (const auto& [key, value] : member.items()) {
      if (key != "state") {
        return Failure{ PatchProblem{ PatchProblemKind::UnknownKey,
                                      path + "/" + key } };
      }
      if (value != aIn && value != aOut) {
        return Failure{ PatchProblem{ PatchProblemKind::UnknownState,
                                      path + "/state" } };
      }
      if (value == aOut) {
        outOfService.insert(Id(name));
      }
    }
  }
  return outOfService;
}

Result<std::map<TeamId, TeamQuota>, PatchProblem>
ReadTeams(const Json& aDocument)
{
  std::map<TeamId, TeamQuota> teams;
  auto section = aDocument.find("teams");
  if (section == aDocument.end()) {
    return teams;
  }
  if (!section->is_object()) {
    return Failure{ PatchProblem{ PatchProblemKind::WrongType, "/teams" } };
  }
  for (const auto& [name, member] : section->items()) {
    auto path = "/teams/" + name;
    if (!member.is_object()) {
      return Failure{ PatchProblem{ PatchProblemKind::WrongType, path } };
    }
    TeamQuota quota;
    for (const auto& [key, value] : member.items()) {
      auto keyPath = path + "/" + key;
      if (key != "max_tasks_in_flight") {
        return Failure{ PatchProblem{ PatchProblemKind::UnknownKey, keyPath } };
      }
      if (!value.is_number_integer()) {
        return Failure{ PatchProblem{ PatchProblemKind::WrongType, keyPath } };
      }
      auto limit = value.get<std::int64_t>();
      if (limit < 0 || limit > kMaxTasksInFlightLimit) {
        return Failure{ PatchProblem{ PatchProblemKind::OutOfRange, keyPath } };
      }
      quota.maxTasksInFlight = static_cast<std::uint32_t>(limit);
    }
    teams.emplace(TeamId(name), quota);
  }
  return teams;
}

Result<ConfigurationDocument, PatchProblem>
FromJson(ConfigurationVersion aVersion, const Json& aDocument)
{
  if (!aDocument.is_object()) {
    return Failure{ PatchProblem{ PatchProblemKind::WrongType, "" } };
  }
  for (const auto& [key, value] : aDocument.items()) {
    if (key != "failure_domains" && key != "upstreams" && key != "teams") {
      return Failure{ PatchProblem{ PatchProblemKind::UnknownKey, "/" + key } };
    }
  }
  ConfigurationDocument document;
  document.version = aVersion;
  document.closedDomains = VW_TRY(ReadOutOfService<FailureDomainId>(
    aDocument, "failure_domains", "open", "closed"));
  document.leavingUpstreams = VW_TRY(ReadOutOfService<UpstreamId>(
    aDocument, "upstreams", "in_service", "leaving"));
  document.teams = VW_TRY(ReadTeams(aDocument));
  document.text = aDocument.dump();
  return document;
}

Result<Json, PatchProblem>
ParseJson(std::string_view aText)
{
  constexpr bool kThrow = false;
  auto json = Json::parse(aText, nullptr, kThrow);
  if (json.is_discarded()) {
    return Failure{ PatchProblem{ PatchProblemKind::NotJson, "" } };
  }
  return json;
}
}

Result<ConfigurationDocument, PatchProblem>
ConfigurationDocument::Parse(ConfigurationVersion aVersion,
                             std::string_view aText)
{
  auto json = VW_TRY(ParseJson(aText));
  return FromJson(aVersion, json);
}

Result<ConfigurationDocument, PatchProblem>
ConfigurationDocument::Patched(std::string_view aPatch) const
{
  auto patch = VW_TRY(ParseJson(aPatch));
  if (!patch.is_object()) {
    return Failure{ PatchProblem{ PatchProblemKind::WrongType, "" } };
  }
  auto document = VW_TRY(ParseJson(text));
  document.merge_patch(patch);
  return FromJson(ConfigurationVersion(version.Value() + 1), document);
}

}
