#include "Tests/System/LogRetention.h"

#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <string>

namespace vanillaworks::system {

namespace {
constexpr std::size_t kPrintedLogLines = 40;

void
PrintLastLines(const std::filesystem::path& aLog)
{
  std::ifstream file(aLog);
  std::deque<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(std::move(line));
    if (lines.size() > kPrintedLogLines) {
      lines.pop_front();
    }
  }
  fmt::print("== last lines of {}\n", aLog.string());
  for (const auto& line : lines) {
    fmt::print("{}\n", line);
  }
}
}

void
RemoveOrKeepLogs(const std::filesystem::path& aDirectory)
{
  std::error_code ignored;
  if (std::getenv("VANILLAWORKS_KEEP_LOGS") == nullptr) {
    (void)std::filesystem::remove_all(aDirectory, ignored);
    return;
  }
  for (const auto& item :
       std::filesystem::directory_iterator(aDirectory, ignored)) {
    if (item.path().extension() == ".log") {
      PrintLastLines(item.path());
    }
  }
}

}
