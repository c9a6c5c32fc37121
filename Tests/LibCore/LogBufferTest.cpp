#include "LibCore/LogBuffer.h"
#include "LibCore/Log.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace vanillaworks;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
}

TEST_CASE("a burst of lines is rate limited and its drops are reported once")
{
  LogBuffer buffer({ 64 * 1024, 100 });
  int admitted = 0;
  for (int i = 0; i < 50'000; ++i) {
    if (buffer.TryAdmit(Event::JobRejected, LogPriority::Important, kNow)) {
      buffer.Add("line");
      ++admitted;
    }
  }
  CHECK(admitted == 100);
  CHECK(buffer.Dropped() == 49'900);
  auto nextSecond = kNow + std::chrono::seconds(1);
  auto dropped = buffer.TakeDropCounts(nextSecond);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].event == Event::JobRejected);
  CHECK(dropped[0].count == 49'900);
  CHECK(buffer.TakeDropCounts(nextSecond).empty());
}

TEST_CASE("important lines are admitted when routine lines are not")
{
  LogBuffer buffer({ 1000, 100'000 });
  const std::string line(99, 'x');
  int routine = 0;
  while (buffer.TryAdmit(Event::TaskPlaced, LogPriority::Routine, kNow)) {
    buffer.Add(line);
    ++routine;
  }
  CHECK(routine == 5);
  CHECK(buffer.TryAdmit(Event::JobRejected, LogPriority::Important, kNow));
  buffer.Add(line);
  CHECK(buffer.Bytes() == 600);
  CHECK(buffer.Take(250).size() == 200);
}

TEST_CASE("logging does not block when nobody reads standard output")
{
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  int savedStdout = dup(STDOUT_FILENO);
  REQUIRE(dup2(pipeEnds[1], STDOUT_FILENO) == STDOUT_FILENO);
  for (int i = 0; i < 50'000; ++i) {
    Log::Write(Event::LinkOpened, { { "number", std::to_string(i) } });
    if (i % 100 == 0) {
      Log::Flush();
    }
  }
  Log::Flush();
  REQUIRE(dup2(savedStdout, STDOUT_FILENO) == STDOUT_FILENO);
  close(savedStdout);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
  SUCCEED("all lines were logged without blocking");
}
