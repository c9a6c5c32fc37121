#ifndef Libraries_LibCore_SettingsReader_h
#define Libraries_LibCore_SettingsReader_h

#include "LibCore/Result.h"
#include "LibCore/SettingsIssue.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaworks {

/**
 * Reads a JSON settings object and collects all of its issues, so that an
 * operator can fix them in one pass. A getter that finds an issue records it
 * and returns a default. Not thread safe.
 */
class SettingsReader
{
public:
  struct Range
  {
    std::int64_t min;
    std::int64_t max;
  };

  /** Parses JSON that may contain comments; an error states the position. */
  static Result<SettingsReader, SettingsIssue> FromText(std::string_view aText);
  static Result<SettingsReader, SettingsIssue> FromFile(
    const std::string& aPath);

  /**
   * Whether the setting "deployment" selects the users' platform rather than a
   * standalone installation. May be called before other settings are read.
   */
  bool IsPlatformDeployment() const;

  /** A required, non-empty string; "" if it is missing or invalid. */
  std::string RequireString(const std::string& aKey);
  std::string GetString(const std::string& aKey, std::string aDefault);
  std::int64_t RequireInteger(const std::string& aKey, Range aRange);
  std::int64_t GetInteger(const std::string& aKey,
                          std::int64_t aDefault,
                          Range aRange);
  double GetNumber(const std::string& aKey,
                   double aDefault,
                   double aMin,
                   double aMax);
  /** The key ends in "_ms", which states the unit. */
  Milliseconds GetMilliseconds(const std::string& aKey,
                               Milliseconds aDefault,
                               Range aRange);
  bool GetFlag(const std::string& aKey, bool aDefault);
  std::vector<std::string> GetStrings(const std::string& aKey);

  /** Records an issue that a setting has with another one or its choices. */
  void ReportContradiction(const std::string& aKey, std::string aDetail);

  /**
   * Returns all issues, unknown keys included. Must be called after all known
   * keys were read; a key that was never read counts as unknown.
   */
  std::vector<SettingsIssue> Finish();

private:
  explicit SettingsReader(nlohmann::json aDocument)
    : document_(std::move(aDocument))
  {
  }
  const nlohmann::json* Find(const std::string& aKey);
  void AddIssue(SettingsProblem aProblem,
                const std::string& aKey,
                std::string aDetail);

  nlohmann::json document_;
  std::set<std::string> knownKeys_;
  std::vector<SettingsIssue> issues_;
};

}

#endif
