#include "Services/Entry/ExplainCommand.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace vanillaworks::entry;

namespace {
// Log lines of a task that was stuck and was placed again, out of order.
constexpr const char* kLog = R"(
   8.11 edge-1 {"time":"2026-07-20T23:05:57.090Z","process":"entry/edge-1","event":704,"name":"TaskEnded","job":"ceed35db4d1e3e1c","task":"1","outcome":"stuck"}
   7.56 edge-1 {"time":"2026-07-20T23:05:56.551Z","process":"entry/edge-1","event":703,"name":"TaskPlaced","job":"ceed35db4d1e3e1c","task":"1","upstream":"side-1"}
   7.57 edge-1 {"time":"2026-07-20T23:05:56.552Z","process":"entry/edge-1","event":703,"name":"TaskPlaced","job":"00000000000000aa","task":"1"}
ceed35db4d1e3e1c {not json
)";
}

TEST_CASE(
  "the log records of a request are sorted by time and exclude other requests")
{
  std::istringstream log(kLog);
  auto records = ReadRecords(log, "ceed35db4d1e3e1c");
  CHECK(FormatRecords(records, OutputFormat::Text) ==
        "2026-07-20T23:05:56.551Z entry/edge-1                 TaskPlaced     "
        "task=1 upstream=side-1\n"
        "2026-07-20T23:05:57.090Z entry/edge-1                 TaskEnded      "
        "task=1 outcome=stuck\n");
  auto json = FormatRecords(records, OutputFormat::Json);
  CHECK(json.find(R"({"time":"2026-07-20T23:05:56.551Z")") == 0);
}
