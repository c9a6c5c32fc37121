#include "LibCore/Log.h"

#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace vanillaworks {

namespace {
std::atomic<LogFormat> sFormat{ LogFormat::Text };
std::string sProcessName;
std::mutex sMutex;
LogBuffer sBuffer{ LogLimits{} };

std::string
FormatTimestamp()
{
  auto now = std::chrono::floor<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

std::string
FormatTextLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  auto line = fmt::format("{} {} E{} {}",
                          FormatTimestamp(),
                          sProcessName,
                          static_cast<unsigned>(aEvent),
                          EventName(aEvent));
  for (const auto& [name, value] : aFields) {
    line += fmt::format(" {}={}", name, value);
  }
  return line;
}

bool
NeedsNoEscape(char aCharacter)
{
  constexpr char kFirstPrintable = 0x20;
  return aCharacter >= kFirstPrintable && aCharacter != '"' &&
         aCharacter != '\\' && aCharacter != '\x7f';
}

/** Replaces quotes, backslashes and control characters by '?'. */
void
AppendJsonString(std::string& aLine, std::string_view aText)
{
  aLine += '"';
  for (char character : aText) {
    aLine += NeedsNoEscape(character) ? character : '?';
  }
  aLine += '"';
}

std::string
FormatJsonLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  auto line =
    fmt::format(R"({{"time":"{}","process":"{}","event":{},"name":"{}")",
                FormatTimestamp(),
                sProcessName,
                static_cast<unsigned>(aEvent),
                EventName(aEvent));
  for (const auto& [name, value] : aFields) {
    line += ',';
    AppendJsonString(line, name);
    line += ':';
    AppendJsonString(line, value);
  }
  line += '}';
  return line;
}

std::string
FormatLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  bool isJson = sFormat.load(std::memory_order_relaxed) == LogFormat::JsonLines;
  return isJson ? FormatJsonLine(aEvent, aFields)
                : FormatTextLine(aEvent, aFields);
}

void
Append(Event aEvent,
       std::initializer_list<Log::Field> aFields,
       LogPriority aPriority)
{
  std::scoped_lock lock(sMutex);
  if (sBuffer.TryAdmit(aEvent, aPriority, MonotonicNow())) {
    sBuffer.Add(FormatLine(aEvent, aFields));
  }
}

/** A pipe that polls writable accepts this many bytes without blocking. */
constexpr std::size_t kMaxChunkBytes = 4096;

bool
IsOutputWritable()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

void
WriteChunk(const std::string& aChunk)
{
  auto written = write(STDOUT_FILENO, aChunk.data(), aChunk.size());
  // A failed write means that the reader is gone; the lines are dropped.
  static_cast<void>(written);
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
  Append(aEvent, aFields, LogPriority::Important);
}

void
Log::WriteRoutine(Event aEvent, std::initializer_list<Field> aFields)
{
  Append(aEvent, aFields, LogPriority::Routine);
}

std::uint64_t
Log::Dropped()
{
  std::scoped_lock lock(sMutex);
  return sBuffer.Dropped();
}

void
Log::Flush()
{
  std::scoped_lock lock(sMutex);
  for (const auto& dropped : sBuffer.TakeDropCounts(MonotonicNow())) {
    sBuffer.Add(FormatLine(Event::LinesDropped,
                           { { "of", std::string(EventName(dropped.event)) },
                             { "count", std::to_string(dropped.count) } }));
  }
  while (!sBuffer.IsEmpty() && IsOutputWritable()) {
    WriteChunk(sBuffer.Take(kMaxChunkBytes));
  }
}

}
