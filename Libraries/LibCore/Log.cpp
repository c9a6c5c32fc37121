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

bool
IsPlain(char aCharacter)
{
  constexpr char kFirstPrintable = 0x20;
  return aCharacter >= kFirstPrintable && aCharacter != '"' &&
         aCharacter != '\\' && aCharacter != '\x7f';
}

/** What JSON can't hold as it is becomes a question mark. */
void
AppendText(std::string& aLine, std::string_view aText)
{
  aLine += '"';
  for (char character : aText) {
    aLine += IsPlain(character) ? character : '?';
  }
  aLine += '"';
}

std::string
JsonLine(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  auto line =
    fmt::format(R"({{"time":"{}","process":"{}","event":{},"name":"{}")",
                Timestamp(),
                sProcessName,
                static_cast<unsigned>(aEvent),
                EventName(aEvent));
  for (const auto& [name, value] : aFields) {
    line += ',';
    AppendText(line, name);
    line += ':';
    AppendText(line, value);
  }
  line += '}';
  return line;
}

std::string
Line(Event aEvent, std::initializer_list<Log::Field> aFields)
{
  bool isJson = sFormat.load(std::memory_order_relaxed) == LogFormat::JsonLines;
  return isJson ? JsonLine(aEvent, aFields) : TextLine(aEvent, aFields);
}

void
Put(Event aEvent, std::initializer_list<Log::Field> aFields, LineWorth aWorth)
{
  std::scoped_lock lock(sMutex);
  if (sBuffer.Admits(aEvent, aWorth, MonotonicNow())) {
    sBuffer.Add(Line(aEvent, aFields));
  }
}

/** A pipe that is ready takes so many bytes without making one wait. */
constexpr std::size_t kChunkBytes = 4096;

bool
IsReaderReady()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

void
WriteChunk(const std::string& aChunk)
{
  auto written = write(STDOUT_FILENO, aChunk.data(), aChunk.size());
  // A reader that is gone has no use for the line.
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
  Put(aEvent, aFields, LineWorth::Telling);
}

void
Log::WriteRoutine(Event aEvent, std::initializer_list<Field> aFields)
{
  Put(aEvent, aFields, LineWorth::Routine);
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
  for (const auto& dropped : sBuffer.TakeDropped(MonotonicNow())) {
    sBuffer.Add(Line(Event::LinesDropped,
                     { { "of", std::string(EventName(dropped.event)) },
                       { "count", std::to_string(dropped.count) } }));
  }
  while (!sBuffer.IsEmpty() && IsReaderReady()) {
    WriteChunk(sBuffer.Take(kChunkBytes));
  }
}

}
