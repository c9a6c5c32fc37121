#include "LibService/ClientSettings.h"

namespace vanillaworks::service {

ClientLimits
ReadClientLimits(SettingsReader& aReader, ClientLimits aDefaults)
{
  constexpr std::int64_t kMaxConnections = 1'000'000;
  constexpr std::int64_t kMaxMegabytes = 4096;
  constexpr std::size_t kBytesPerMegabyte = std::size_t{ 1024 } * 1024;
  auto connections =
    aReader.GetInteger("max_client_connections",
                       static_cast<std::int64_t>(aDefaults.maxConnections),
                       { 0, kMaxConnections });
  auto megabytes = aReader.GetInteger(
    "max_client_pending_mb",
    static_cast<std::int64_t>(aDefaults.maxPendingBytes / kBytesPerMegabyte),
    { 1, kMaxMegabytes });
  aDefaults.maxConnections = static_cast<std::size_t>(connections);
  aDefaults.maxPendingBytes =
    static_cast<std::size_t>(megabytes) * kBytesPerMegabyte;
  return aDefaults;
}

}
