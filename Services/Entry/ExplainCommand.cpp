#include "Services/Entry/ExplainCommand.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillaworks::entry {

namespace {
using Json = nlohmann::ordered_json;
constexpr int kExitUsage = 2;

std::string
ToText(const Json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

LogRecord
MakeRecord(const Json& aObject)
{
  static const std::set<std::string> sHeaderFields{
    "time", "process", "name", "event"
  };
  LogRecord record;
  record.time = ToText(aObject.value("time", Json("")));
  record.process = ToText(aObject.value("process", Json("")));
  record.event = ToText(aObject.value("name", Json("")));
  for (const auto& [name, value] : aObject.items()) {
    if (!sHeaderFields.contains(name)) {
      record.fields.emplace_back(name, ToText(value));
    }
  }
  return record;
}

std::string
FormatReadable(const LogRecord& aRecord)
{
  auto text = fmt::format(
    "{} {:<28} {:<14}", aRecord.time, aRecord.process, aRecord.event);
  for (const auto& [name, value] : aRecord.fields) {
    if (name != "job") {
      text += fmt::format(" {}={}", name, value);
    }
  }
  return text + "\n";
}

std::string
FormatJson(const LogRecord& aRecord)
{
  Json object{ { "time", aRecord.time },
               { "process", aRecord.process },
               { "event", aRecord.event } };
  for (const auto& [name, value] : aRecord.fields) {
    object[name] = value;
  }
  return object.dump() + "\n";
}
}

std::vector<LogRecord>
ReadRecords(std::istream& aLog, const std::string& aRequest)
{
  std::vector<LogRecord> records;
  std::string text;
  while (std::getline(aLog, text)) {
    auto begin = text.find('{');
    bool mentionsRequest =
      begin != std::string::npos && text.find(aRequest) != std::string::npos;
    if (!mentionsRequest) {
      continue;
    }
    auto object = Json::parse(text.substr(begin), nullptr, false);
    if (object.is_object()) {
      records.push_back(MakeRecord(object));
    }
  }
  return records;
}

std::string
FormatRecords(std::vector<LogRecord> aRecords, OutputFormat aFormat)
{
  std::stable_sort(aRecords.begin(),
                   aRecords.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.time < aRight.time;
                   });
  std::string text;
  for (const auto& record : aRecords) {
    text += aFormat == OutputFormat::Json ? FormatJson(record)
                                          : FormatReadable(record);
  }
  return text;
}

int
RunExplain(const std::vector<std::string>& aArguments, OutputFormat aFormat)
{
  if (aArguments.empty()) {
    fmt::print(stderr, "usage: explain ID [FILE...]; the ID is missing\n");
    return kExitUsage;
  }
  const auto& request = aArguments.front();
  std::vector<LogRecord> records;
  if (aArguments.size() == 1) {
    records = ReadRecords(std::cin, request);
  }
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    std::ifstream file(aArguments[i]);
    if (!file) {
      fmt::print(stderr, "cannot open log file {}\n", aArguments[i]);
      return kExitUsage;
    }
    auto fileRecords = ReadRecords(file, request);
    records.insert(records.end(), fileRecords.begin(), fileRecords.end());
  }
  if (records.empty()) {
    fmt::print(stderr, "no log record mentions {}\n", request);
    return EXIT_FAILURE;
  }
  fmt::print("{}", FormatRecords(std::move(records), aFormat));
  return EXIT_SUCCESS;
}

}
