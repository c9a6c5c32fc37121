#include "LibPlatform/ClaimRow.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::platform {

namespace {
using Json = nlohmann::json;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
AnswerToJson(const dispatch::Answer& aAnswer)
{
  auto tasks = Json::array();
  for (const auto& task : aAnswer.tasks) {
    tasks.push_back({ task.id.Value(), task.payload });
  }
  return { { "submission", aAnswer.submission.Value() },
           { "state", AnswerStateName(aAnswer.state) },
           { "reason", AnswerReasonName(aAnswer.reason) },
           { "tasks", std::move(tasks) } };
}

std::optional<dispatch::Answer>
AnswerFromJson(const Json& aJson)
{
  auto state = dispatch::AnswerStateFromName(
    aJson.at("state").get_ref<const std::string&>());
  auto reason = dispatch::AnswerReasonFromName(
    aJson.at("reason").get_ref<const std::string&>());
  if (!state || !reason) {
    return {};
  }
  dispatch::Answer answer{
    SubmissionId(aJson.at("submission").get<std::string>()), *state, *reason, {}
  };
  for (const auto& task : aJson.at("tasks")) {
    answer.tasks.push_back(
      { TaskId(task.at(0).get<std::string>()), task.at(1).get<std::string>() });
  }
  return answer;
}
}

std::string
EncodeAnswer(const dispatch::Answer& aAnswer)
{
  return Dump(AnswerToJson(aAnswer));
}

std::optional<dispatch::Answer>
DecodeAnswer(const std::string& aText)
{
  try {
    return AnswerFromJson(Json::parse(aText));
  } catch (const Json::exception&) {
    return {};
  }
}

std::string
ClaimRow::Encode() const
{
  Json row{ { "entry", owner.entry.Value() },
            { "incarnation", owner.incarnation.Value() },
            { "digest", digest },
            { "first", firstSequence } };
  if (answer) {
    row["answer"] = AnswerToJson(*answer);
  }
  if (!answerObjectName.empty()) {
    row["answer_object"] = answerObjectName;
  }
  return Dump(row);
}

std::optional<ClaimRow>
ClaimRow::Decode(const std::string& aValue)
{
  try {
    auto json = Json::parse(aValue);
    ClaimRow row;
    row.owner.entry = EntryId(json.at("entry").get<std::string>());
    row.owner.incarnation =
      Incarnation(json.at("incarnation").get<std::uint64_t>());
    row.digest = json.at("digest").get<std::string>();
    row.firstSequence = json.at("first").get<std::uint64_t>();
    row.answerObjectName = json.value("answer_object", "");
    if (json.contains("answer")) {
      row.answer = AnswerFromJson(json.at("answer"));
    }
    return row;
  } catch (const Json::exception&) {
    return {};
  }
}

std::string
ClaimKey(const SubmissionId& aSubmission)
{
  return "claim/" + aSubmission.Value();
}

}
