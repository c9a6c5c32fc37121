#include "LibCore/SettingsReader.h"

#include <fmt/format.h>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

namespace vanillaworks {

Result<SettingsReader, SettingsIssue>
SettingsReader::FromText(std::string_view aText)
{
  constexpr bool kThrow = true;
  constexpr bool kIgnoreComments = true;
  try {
    auto document =
      nlohmann::json::parse(aText, nullptr, kThrow, kIgnoreComments);
    if (!document.is_object()) {
      return Failure{ SettingsIssue{ SettingsProblem::WrongType,
                                     "",
                                     "the settings must be a JSON object" } };
    }
    return SettingsReader(std::move(document));
  } catch (const nlohmann::json::parse_error& error) {
    return Failure{ SettingsIssue{
      SettingsProblem::NotJson, "", error.what() } };
  }
}

Result<SettingsReader, SettingsIssue>
SettingsReader::FromFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Failure{ SettingsIssue{ SettingsProblem::Unreadable,
                                   "",
                                   "failed to open settings file " + aPath } };
  }
  std::stringstream text;
  text << file.rdbuf();
  return FromText(text.str());
}

const nlohmann::json*
SettingsReader::Find(const std::string& aKey)
{
  knownKeys_.insert(aKey);
  auto found = document_.find(aKey);
  return found == document_.end() ? nullptr : &*found;
}

void
SettingsReader::AddIssue(SettingsProblem aProblem,
                         const std::string& aKey,
                         std::string aDetail)
{
  issues_.push_back({ aProblem, "/" + aKey, std::move(aDetail) });
}

bool
SettingsReader::IsPlatformDeployment() const
{
  auto found = document_.find("deployment");
  return found != document_.end() && *found == "platform";
}

std::string
SettingsReader::RequireString(const std::string& aKey)
{
  const auto* value = Find(aKey);
  if (!value) {
    AddIssue(SettingsProblem::Missing, aKey, "required string is missing");
    return {};
  }
  return GetString(aKey, {});
}

std::string
SettingsReader::GetString(const std::string& aKey, std::string aDefault)
{
  const auto* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    AddIssue(SettingsProblem::WrongType, aKey, "must be a non-empty string");
    return aDefault;
  }
  return value->get<std::string>();
}

std::int64_t
SettingsReader::RequireInteger(const std::string& aKey, Range aRange)
{
  if (!Find(aKey)) {
    AddIssue(SettingsProblem::Missing, aKey, "required integer is missing");
    return aRange.min;
  }
  return GetInteger(aKey, aRange.min, aRange);
}

std::int64_t
SettingsReader::GetInteger(const std::string& aKey,
                           std::int64_t aDefault,
                           Range aRange)
{
  const auto* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_number_integer()) {
    AddIssue(SettingsProblem::WrongType, aKey, "must be an integer");
    return aDefault;
  }
  // A number above the signed range would turn negative.
  bool isTooLarge = value->is_number_unsigned() &&
                    !std::in_range<std::int64_t>(value->get<std::uint64_t>());
  auto number = isTooLarge ? std::numeric_limits<std::int64_t>::max()
                           : value->get<std::int64_t>();
  if (isTooLarge || number < aRange.min || number > aRange.max) {
    AddIssue(SettingsProblem::OutOfRange,
             aKey,
             fmt::format("must be between {} and {}", aRange.min, aRange.max));
    return aDefault;
  }
  return number;
}

double
SettingsReader::GetNumber(const std::string& aKey,
                          double aDefault,
                          double aMin,
                          double aMax)
{
  const auto* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_number()) {
    AddIssue(SettingsProblem::WrongType, aKey, "must be a number");
    return aDefault;
  }
  auto number = value->get<double>();
  if (number < aMin || number > aMax) {
    AddIssue(SettingsProblem::OutOfRange,
             aKey,
             fmt::format("must be between {} and {}", aMin, aMax));
    return aDefault;
  }
  return number;
}

Milliseconds
SettingsReader::GetMilliseconds(const std::string& aKey,
                                Milliseconds aDefault,
                                Range aRange)
{
  return Milliseconds(GetInteger(aKey, aDefault.count(), aRange));
}

bool
SettingsReader::GetFlag(const std::string& aKey, bool aDefault)
{
  const auto* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    AddIssue(SettingsProblem::WrongType, aKey, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

std::vector<std::string>
SettingsReader::GetStrings(const std::string& aKey)
{
  const auto* value = Find(aKey);
  if (!value) {
    return {};
  }
  std::vector<std::string> strings;
  if (!value->is_array()) {
    AddIssue(SettingsProblem::WrongType, aKey, "must be an array of strings");
    return strings;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    if (!(*value)[i].is_string()) {
      AddIssue(SettingsProblem::WrongType,
               fmt::format("{}/{}", aKey, i),
               "must be a string");
      continue;
    }
    strings.push_back((*value)[i].get<std::string>());
  }
  return strings;
}

void
SettingsReader::ReportContradiction(const std::string& aKey,
                                    std::string aDetail)
{
  AddIssue(SettingsProblem::Contradiction, aKey, std::move(aDetail));
}

std::vector<SettingsIssue>
SettingsReader::Finish()
{
  for (const auto& [key, value] : document_.items()) {
    if (!knownKeys_.contains(key)) {
      AddIssue(SettingsProblem::UnknownKey, key, "unknown setting");
    }
  }
  return std::move(issues_);
}

}
