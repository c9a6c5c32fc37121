#include "LibPlatform/FenceRow.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::platform {

std::map<EntryId, Incarnation>
DecodeFences(const std::string& aValue)
{
  std::map<EntryId, Incarnation> fences;
  auto json = nlohmann::json::parse(aValue, nullptr, false);
  if (!json.is_object()) {
    return fences;
  }
  for (const auto& [entry, incarnation] : json.items()) {
    if (incarnation.is_number_unsigned()) {
      fences.emplace(EntryId(entry),
                     Incarnation(incarnation.get<std::uint64_t>()));
    }
  }
  return fences;
}

std::string
EncodeFences(const std::map<EntryId, Incarnation>& aFences)
{
  auto json = nlohmann::json::object();
  for (const auto& [entry, incarnation] : aFences) {
    json[entry.Value()] = incarnation.Value();
  }
  return json.dump();
}

}
