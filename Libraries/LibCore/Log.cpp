#include "LibCore/Log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillaworks {

namespace {
std::atomic<LogFormat> sFormat{ LogFormat::Text };
std::string sProcessName;

std::string
Timestamp()
{
  auto now = std::chrono::floor<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

std::string
TextLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  auto line = fmt::format("{} {} E{} {}",
                          Timestamp(),
                          sProcessName,
                          static_cast<unsigned>(aEvent),
                          EventName(aEvent));
  for (const auto& [name, value] : aFields) {
    line += fmt::format(" {}={}", name, value);
  }
  return line;
}

std::string
JsonLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  nlohmann::json line{ { "time", Timestamp() },
                       { "process", sProcessName },
                       { "event", static_cast<unsigned>(aEvent) },
                       { "name", EventName(aEvent) } };
  for (const auto& [name, value] : aFields) {
    line[std::string(name)] = value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}
}

void
Log::SetFormat(LogFormat aFormat)
{
  sFormat = aFormat;
}

void
Log::SetProcessName(std::string aName)
{
  sProcessName = std::move(aName);
}

void
Log::Write(Event aEvent, std::initializer_list<Field> aFields)
{
  bool isJson = sFormat.load(std::memory_order_relaxed) == LogFormat::JsonLines;
  auto line = isJson ? JsonLine(aEvent, aFields) : TextLine(aEvent, aFields);
  fmt::print(stderr, "{}\n", line);
}

}
