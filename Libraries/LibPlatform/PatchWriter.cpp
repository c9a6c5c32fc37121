#include "LibPlatform/PatchWriter.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace vanillaworks::platform {

namespace {
using Json = nlohmann::json;
constexpr Milliseconds kRetryDelay{ 100 };

std::string
LogKey(ConfigurationVersion aVersion)
{
  return "configuration_log/" + std::to_string(aVersion.Value());
}

const TableRow*
FindRow(const std::vector<TableRow>& aRows, const std::string& aKey)
{
  for (const auto& row : aRows) {
    if (row.key == aKey && row.version != kAbsentVersion) {
      return &row;
    }
  }
  return nullptr;
}

TableTransaction
MakeTransaction(const dispatch::ConfigurationDocument& aNext,
                std::uint64_t aRowVersion,
                const std::string& aPatch,
                const std::string& aNonce)
{
  Json configurationRow{ { "version", aNext.version.Value() },
                         { "document", aNext.text } };
  Json logRow{ { "nonce", aNonce }, { "patch", aPatch } };
  return { { { PatchWriter::kConfigurationKey,
               aRowVersion,
               configurationRow.dump(),
               {} },
             { LogKey(aNext.version), kAbsentVersion, logRow.dump(), {} } } };
}

bool
HasNonce(const TableRow& aLogRow, const std::string& aNonce)
{
  auto json = Json::parse(aLogRow.value, nullptr, false);
  return json.is_object() && json.value("nonce", "") == aNonce;
}
}

Result<dispatch::ConfigurationDocument, dispatch::PatchProblem>
PatchWriter::Decode(const std::string& aValue)
{
  auto json = Json::parse(aValue, nullptr, false);
  bool isWellFormed = json.is_object() && json.contains("version") &&
                      json["version"].is_number_unsigned() &&
                      json.contains("document") && json["document"].is_string();
  if (!isWellFormed) {
    return Failure{ dispatch::PatchProblem{ dispatch::PatchProblemKind::NotJson,
                                            "" } };
  }
  return dispatch::ConfigurationDocument::Parse(
    ConfigurationVersion(json["version"].get<std::uint64_t>()),
    json["document"].get<std::string>());
}

PatchOutcome
PatchWriter::Apply(ConfigurationVersion aBase,
                   const std::string& aPatch,
                   const std::string& aNonce,
                   MonotonicTime aDeadline)
{
  ConfigurationVersion next(aBase.Value() + 1);
  bool mayHaveWritten = false;
  std::optional<dispatch::ConfigurationDocument> applied;
  while (MonotonicNow() < aDeadline) {
    auto read = table_.Read({ { kConfigurationKey, LogKey(next) }, {} });
    if (read.IsError()) {
      if (!mayHaveWritten && read.Error() != TableError::ResponseLost) {
        return PatchTableUnavailable{};
      }
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    const auto& rows = read.Value().rows;
    const auto* logRow = FindRow(rows, LogKey(next));
    if (logRow && applied && HasNonce(*logRow, aNonce)) {
      return PatchApplied{ *applied };
    }
    const auto* configurationRow = FindRow(rows, kConfigurationKey);
    dispatch::ConfigurationDocument current;
    current.text = "{}";
    if (configurationRow) {
      auto decoded = Decode(configurationRow->value);
      if (decoded.IsError()) {
        return decoded.Error();
      }
      current = decoded.ReleaseValue();
    }
    if (current.version != aBase) {
      return PatchVersionMismatch{ current.version };
    }
    auto patched = current.Patched(aPatch);
    if (patched.IsError()) {
      return patched.Error();
    }
    applied = patched.ReleaseValue();
    auto transaction = MakeTransaction(
      *applied,
      configurationRow ? configurationRow->version : kAbsentVersion,
      aPatch,
      aNonce);
    auto result = table_.Transact(transaction);
    if (!result.IsError() && result.Value().committed) {
      return PatchApplied{ *applied };
    }
    if (result.IsError()) {
      // Only a lost response leaves it unknown whether the write took effect.
      // It stays unknown even if a later attempt certainly fails.
      bool isOutcomeUnknown = result.Error() == TableError::ResponseLost;
      mayHaveWritten = mayHaveWritten || isOutcomeUnknown;
      if (!mayHaveWritten) {
        return PatchTableUnavailable{};
      }
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  return mayHaveWritten ? PatchOutcome(PatchOutcomeUnknown{})
                        : PatchOutcome(PatchTableUnavailable{});
}

}
