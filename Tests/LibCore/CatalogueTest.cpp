#include "LibCore/EventCatalogue.h"
#include "LibDispatch/AnswerReason.h"
#include "LibDispatch/RequestProblem.h"
#include "LibProtocol/RefusalReason.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {
std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(std::string(VANILLAWORKS_SOURCE) + "/" + aPath);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string>
FindAll(const std::string& aText, const std::regex& aPattern)
{
  std::set<std::string> found;
  for (std::sregex_iterator match(aText.begin(), aText.end(), aPattern);
       match != std::sregex_iterator();
       ++match) {
    found.insert((*match)[1]);
  }
  return found;
}
}

TEST_CASE("docs/EVENTS.md lists every event of the catalogue")
{
  std::set<std::string> rows;
#define VW_ROW(number, name, meaning)                                          \
  rows.insert("| " #number " | " #name " | " meaning " |");
  VW_FOR_EACH_EVENT(VW_ROW)
#undef VW_ROW
  auto page = ReadFile("docs/EVENTS.md");
  for (const auto& row : rows) {
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
  std::regex pattern(R"((?:^|\n)(\| \d+ \|[^\n]*))");
  CHECK(FindAll(page, pattern).size() == rows.size());
}

TEST_CASE("docs/API.md lists every answer reason and request problem")
{
  auto page = ReadFile("docs/API.md");
  std::set<std::string> words;
#define VW_WORD(name, word) words.insert(word);
  VW_FOR_EACH_ANSWER_REASON(VW_WORD)
  VW_FOR_EACH_REQUEST_PROBLEM(VW_WORD)
#undef VW_WORD
  for (const auto& word : words) {
    INFO(word);
    CHECK(page.find("`" + word + "`") != std::string::npos);
  }
}

TEST_CASE("docs/OPERATIONS.md lists every metric")
{
  auto code = ReadFile("Libraries/LibService/MetricsCatalogue.h");
  auto page = ReadFile("docs/OPERATIONS.md");
  for (const auto& name :
       FindAll(code, std::regex("\"(vanillaworks_[a-z_]+)\""))) {
    INFO(name);
    CHECK(page.find("`" + name + "`") != std::string::npos);
  }
}

namespace {
std::set<std::string>
KeysReadBy(const std::string& aSource)
{
  std::regex pattern("(?:Require|Get|read)[A-Za-z]*\\(\\s*\"([a-z_]+)\"");
  return FindAll(ReadFile(aSource), pattern);
}
}

TEST_CASE("each settings example contains every key that is read")
{
  for (const auto& [source, example] :
       { std::pair{ "Services/Entry/EntrySettings.cpp",
                    "Settings/entry.example.json" },
         std::pair{ "Services/Agent/AgentSettings.cpp",
                    "Settings/agent.example.json" },
         std::pair{ "Services/Entry/JobEntrySettings.cpp",
                    "Settings/job-entry.example.json" },
         std::pair{ "Services/Agent/JobAgentSettings.cpp",
                    "Settings/job-agent.example.json" } }) {
    auto keys = KeysReadBy(source);
    if (ReadFile(source).find("JobProcessSettings::Read") !=
        std::string::npos) {
      keys.merge(KeysReadBy("Libraries/LibService/JobProcessSettings.cpp"));
    }
    auto text = ReadFile(example);
    CHECK(keys.size() > 10);
    for (const auto& key : keys) {
      INFO(key);
      CHECK(text.find("\"" + key + "\":") != std::string::npos);
    }
  }
}
